package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.FairShare;
import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The results of the simulation of a scenario. */
public final class RunResults {

    private static final int BUCKET_MS = 100;
    private static final int WINDOW_BUCKETS = 10;
    private static final int FINAL_WINDOW_BUCKETS = 50;
    private static final double MS_PER_SECOND = 1_000;
    private static final double MEASURED_SECONDS = (Scenario.END_MS - Scenario.WARM_UP_MS) / MS_PER_SECOND;
    private static final double RECOVERED_RATIO = 0.9;

    private final Scenario scenario;
    private final int[] successesByBucket = new int[(int) (Scenario.END_MS / BUCKET_MS) + 1];
    private final Map<String, Integer> successesByAccount = new HashMap<>();
    private final Map<String, Integer> requestsByAccount = new HashMap<>();
    private int requests;
    private final Map<Priority, int[]> countsByPriority = new EnumMap<>(Priority.class);

    RunResults(Scenario scenario) {
        this.scenario = scenario;
        for (Priority priority : Priority.values()) {
            countsByPriority.put(priority, new int[2]);
        }
    }

    void addRequest(AccountSpec account, Priority priority, long nowMs) {
        if (nowMs >= Scenario.WARM_UP_MS) {
            countsByPriority.get(priority)[0]++;
            requests++;
            requestsByAccount.merge(account.name(), 1, Integer::sum);
        }
    }

    void addSuccess(AccountSpec account, Priority priority, long nowMs) {
        successesByBucket[(int) (nowMs / BUCKET_MS)]++;
        if (nowMs >= Scenario.WARM_UP_MS) {
            countsByPriority.get(priority)[1]++;
            successesByAccount.merge(account.name(), 1, Integer::sum);
        }
    }

    /**
     * Computes the goodput after the warm-up.
     *
     * @return successful requests as a ratio of the capacity of the services, or of the demand if that is less
     */
    public double toGoodput() {
        double attainableRate = Math.min(scenario.toCapacity(), requests / MEASURED_SECONDS);
        return toRate(Scenario.WARM_UP_MS, Scenario.END_MS) / attainableRate;
    }

    /**
     * Computes the time that goodput takes to recover after the event.
     *
     * @return milliseconds from the end of the event to the first second with 90 % of the goodput before it; empty if
     *     there is none or goodput is lower again at the end of the run
     */
    public OptionalLong toRecoveryMs() {
        double recoveredRate = RECOVERED_RATIO * toRate(Scenario.WARM_UP_MS, Scenario.EVENT_START_MS);
        long finalWindowStartMs = Scenario.END_MS - (long) FINAL_WINDOW_BUCKETS * BUCKET_MS;
        if (toRate(finalWindowStartMs, Scenario.END_MS) < recoveredRate) {
            return OptionalLong.empty();
        }
        for (long fromMs = Scenario.EVENT_END_MS; fromMs < finalWindowStartMs; fromMs += BUCKET_MS) {
            if (toRate(fromMs, fromMs + (long) WINDOW_BUCKETS * BUCKET_MS) >= recoveredRate) {
                return OptionalLong.of(fromMs - Scenario.EVENT_END_MS);
            }
        }
        return OptionalLong.empty();
    }

    /**
     * Computes the goodput of the worst-served client account.
     *
     * @return its goodput as a ratio of its fair share
     */
    public double toMinFairShareRatio() {
        List<FairShare.Demand> demands = new ArrayList<>();
        for (AccountSpec account : scenario.accounts()) {
            demands.add(new FairShare.Demand(toDemand(account), account.weight()));
        }
        double share = FairShare.toShare(demands, scenario.toCapacity());
        double minRatio = Double.POSITIVE_INFINITY;
        for (AccountSpec account : scenario.accounts()) {
            double fairRate = Math.min(toDemand(account), share * account.weight());
            minRatio = Math.min(
                    minRatio, successesByAccount.getOrDefault(account.name(), 0) / MEASURED_SECONDS / fairRate);
        }
        return minRatio;
    }

    /**
     * Computes the ratio of requests of a priority that failed after all attempts.
     *
     * @param priority the priority, not {@code null}
     * @return the ratio from 0 to 1, 0 if there were no requests
     */
    public double toFailureRatio(Priority priority) {
        int[] counts = countsByPriority.get(priority);
        return counts[0] == 0 ? 0 : Math.max(0, 1 - (double) counts[1] / counts[0]);
    }

    private double toDemand(AccountSpec account) {
        return requestsByAccount.getOrDefault(account.name(), 0) / MEASURED_SECONDS;
    }

    private double toRate(long fromMs, long toMs) {
        int sum = 0;
        for (int i = (int) (fromMs / BUCKET_MS); i < toMs / BUCKET_MS; i++) {
            sum += successesByBucket[i];
        }
        return sum * MS_PER_SECOND / (toMs - fromMs);
    }
}
