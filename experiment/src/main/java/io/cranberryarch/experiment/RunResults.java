package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.FairShare;
import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** What came out of a run. */
public final class RunResults {

    private static final int BUCKET_MS = 100;
    private static final int WINDOW_BUCKETS = 10;
    private static final int LAST_BUCKETS = 50;
    private static final double MS_PER_SECOND = 1_000;
    private static final double MEASURED_SECONDS = (Scenario.END_MS - Scenario.WARM_UP_MS) / MS_PER_SECOND;
    private static final double RECOVERED_SHARE = 0.9;

    private final Scenario scenario;
    private final int[] successes = new int[(int) (Scenario.END_MS / BUCKET_MS) + 1];
    private final Map<String, Integer> byAccount = new HashMap<>();
    private final Map<String, Integer> requestsByAccount = new HashMap<>();
    private int requests;
    private final Map<Priority, int[]> byPriority = new EnumMap<>(Priority.class);

    RunResults(Scenario scenario) {
        this.scenario = scenario;
        for (Priority priority : Priority.values()) {
            byPriority.put(priority, new int[2]);
        }
    }

    void addRequest(AccountSpec account, Priority priority, long nowMs) {
        if (nowMs >= Scenario.WARM_UP_MS) {
            byPriority.get(priority)[0]++;
            requests++;
            requestsByAccount.merge(account.name(), 1, Integer::sum);
        }
    }

    void addSuccess(AccountSpec account, Priority priority, long nowMs) {
        successes[(int) (nowMs / BUCKET_MS)]++;
        if (nowMs >= Scenario.WARM_UP_MS) {
            byPriority.get(priority)[1]++;
            byAccount.merge(account.name(), 1, Integer::sum);
        }
    }

    /**
     * Computes the goodput after the warm-up.
     *
     * @return whole requests as a share of what the services can finish, or of what was asked for if that is less
     */
    public double toGoodput() {
        double possible = Math.min(scenario.toCapacity(), requests / MEASURED_SECONDS);
        return toRate(Scenario.WARM_UP_MS, Scenario.END_MS) / possible;
    }

    /**
     * Computes how long goodput takes to come back after the event.
     *
     * @return milliseconds from the end of the event to the first second with 90 % of the goodput before it; empty if
     *     there is none or it does not last
     */
    public OptionalLong toRecoveryMs() {
        double before = RECOVERED_SHARE * toRate(Scenario.WARM_UP_MS, Scenario.EVENT_START_MS);
        long lastMs = Scenario.END_MS - (long) LAST_BUCKETS * BUCKET_MS;
        if (toRate(lastMs, Scenario.END_MS) < before) {
            return OptionalLong.empty();
        }
        for (long fromMs = Scenario.EVENT_END_MS; fromMs < lastMs; fromMs += BUCKET_MS) {
            if (toRate(fromMs, fromMs + (long) WINDOW_BUCKETS * BUCKET_MS) >= before) {
                return OptionalLong.of(fromMs - Scenario.EVENT_END_MS);
            }
        }
        return OptionalLong.empty();
    }

    /**
     * Computes how the worst-served client account fares.
     *
     * @return its goodput as a share of its fair share
     */
    public double toWorstShare() {
        List<FairShare.Demand> demands = new ArrayList<>();
        for (AccountSpec account : scenario.accounts()) {
            demands.add(new FairShare.Demand(toDemand(account), account.weight()));
        }
        double share = FairShare.toShare(demands, scenario.toCapacity());
        double worst = Double.POSITIVE_INFINITY;
        for (AccountSpec account : scenario.accounts()) {
            double fair = Math.min(toDemand(account), share * account.weight());
            worst = Math.min(worst, byAccount.getOrDefault(account.name(), 0) / MEASURED_SECONDS / fair);
        }
        return worst;
    }

    /**
     * Computes the share of requests of a priority that failed for good.
     *
     * @param priority the priority
     * @return the share, 0 if there were none
     */
    public double toShedShare(Priority priority) {
        int[] counts = byPriority.get(priority);
        return counts[0] == 0 ? 0 : Math.max(0, 1 - (double) counts[1] / counts[0]);
    }

    private double toDemand(AccountSpec account) {
        return requestsByAccount.getOrDefault(account.name(), 0) / MEASURED_SECONDS;
    }

    private double toRate(long fromMs, long toMs) {
        int sum = 0;
        for (int i = (int) (fromMs / BUCKET_MS); i < toMs / BUCKET_MS; i++) {
            sum += successes[i];
        }
        return sum * MS_PER_SECOND / (toMs - fromMs);
    }
}
