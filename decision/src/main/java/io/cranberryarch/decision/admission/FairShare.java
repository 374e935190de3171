package io.cranberryarch.decision.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides a capacity between demands by weight, so that none gets more than it asks for (max-min fairness).
 *
 * <pre>
 * double level = FairShare.toShare(demands, capacity);
 * double granted = Math.min(demand.amount(), level * demand.weight());
 * </pre>
 */
public final class FairShare {

    /**
     * What one party asks for.
     *
     * @param amount the amount, not negative
     * @param weight the weight, positive
     */
    public record Demand(double amount, double weight) {}

    private FairShare() {}

    /**
     * Computes the share of one unit of weight.
     *
     * @param demands the demands, not {@code null}
     * @param capacity the amount to divide, not negative
     * @return the most that a party of weight 1 gets, {@link Double#POSITIVE_INFINITY} if all get what they ask for
     */
    public static double toShare(List<Demand> demands, double capacity) {
        List<Demand> sorted = new ArrayList<>(demands);
        sorted.sort(Comparator.comparingDouble(demand -> demand.amount() / demand.weight()));
        double left = capacity;
        double weights = 0;
        for (Demand demand : sorted) {
            weights += demand.weight();
        }
        for (Demand demand : sorted) {
            if (demand.amount() / demand.weight() > left / weights) {
                return Math.max(0, left / weights);
            }
            left -= demand.amount();
            weights -= demand.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
