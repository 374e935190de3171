package io.cranberryarch.decision.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides a capacity between demands by weight with max-min fairness, so that no demand gets more than its amount.
 *
 * <pre>
 * double level = FairShare.toShare(demands, capacity);
 * double granted = Math.min(demand.amount(), level * demand.weight());
 * </pre>
 */
public final class FairShare {

    /**
     * The demand of one party.
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
     * @return the maximum amount for a party of weight 1, {@link Double#POSITIVE_INFINITY} if all demands are met
     */
    public static double toShare(List<Demand> demands, double capacity) {
        List<Demand> sorted = new ArrayList<>(demands);
        sorted.sort(Comparator.comparingDouble(demand -> demand.amount() / demand.weight()));
        double remaining = capacity;
        double weights = 0;
        for (Demand demand : sorted) {
            weights += demand.weight();
        }
        for (Demand demand : sorted) {
            if (demand.amount() / demand.weight() > remaining / weights) {
                return Math.max(0, remaining / weights);
            }
            remaining -= demand.amount();
            weights -= demand.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
