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
     * Returns the number of requests with an outcome.
     *
     * @param outcome the outcome, not {@code null}
     * @return the number
     */
    public long get(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    /**
     * Returns the number of all requests.
     *
     * @return the number
     */
    public long getTotal() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Checks whether any request had an outcome other than a client error.
     *
     * @return whether a verdict on the requests is meaningful
     */
    public boolean hasEvaluableRequests() {
        return getTotal() > get(Outcome.CLIENT_ERROR);
    }

    /**
     * Returns the number of requests that were expected to succeed: within the rate, and not a client error.
     *
     * @return the number
     */
    public long getSuccessExpected() {
        return sum(true);
    }

    /**
     * Returns the number of requests that were refused for a reason other than the rate.
     *
     * @return the number
     */
    public long getRefusedWithinRate() {
        return sum(false);
    }

    /**
     * Returns the goodput.
     *
     * @return the ratio of successful requests to those expected to succeed, from 0 to 1, or 1 if there were none
     */
    public double toGoodput() {
        return toRatio(get(Outcome.OK), getSuccessExpected());
    }

    static double toRatio(long part, long total) {
        return total == 0 ? 1 : (double) part / total;
    }

    private long sum(boolean isSuccessExpected) {
        long sum = 0;
        for (Map.Entry<Outcome, Long> entry : counts.entrySet()) {
            if (isSuccessExpected
                    ? entry.getKey().isSuccessExpected()
                    : entry.getKey().isRefusalWithinRate()) {
                sum += entry.getValue();
            }
        }
        return sum;
    }
}
