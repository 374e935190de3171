package io.cranberryarch.operator.report;

import io.cranberryarch.api.Outcome;
import java.util.EnumMap;
import java.util.Map;

/** Numbers of requests by outcome. */
public final class OutcomeCounts {

    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);

    void add(Outcome outcome, long count) {
        counts.merge(outcome, count, Long::sum);
    }

    /**
     * Gets the number of requests with an outcome.
     *
     * @param outcome the outcome, not {@code null}
     * @return the number
     */
    public long get(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    /**
     * Counts all requests.
     *
     * @return the number
     */
    public long getTotal() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Checks whether there was any request that was not the caller's mistake.
     *
     * @return whether a verdict has a meaning
     */
    public boolean hasEvaluableRequests() {
        return getTotal() > get(Outcome.CLIENT_ERROR);
    }

    /**
     * Counts the requests that ought to have been served: within the rate, and not the caller's mistake.
     *
     * @return the number
     */
    public long getDue() {
        return sum(true);
    }

    /**
     * Counts the requests refused for another reason than the rate.
     *
     * @return the number
     */
    public long getRefusedWithinRate() {
        return sum(false);
    }

    /**
     * Computes the goodput.
     *
     * @return the share of total answers in the requests due, 1 if none was due
     */
    public double toGoodput() {
        return toRatio(get(Outcome.OK), getDue());
    }

    static double toRatio(long part, long total) {
        return total == 0 ? 1 : (double) part / total;
    }

    private long sum(boolean isDue) {
        long sum = 0;
        for (Map.Entry<Outcome, Long> entry : counts.entrySet()) {
            if (isDue ? entry.getKey().isSuccessExpected() : entry.getKey().isRefusalWithinRate()) {
                sum += entry.getValue();
            }
        }
        return sum;
    }
}
