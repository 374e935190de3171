package io.cranberryarch.decision.serving;

/** Estimates the latency of requests of one kind to detect overdue answers. Not thread-safe. */
public final class LatencyEstimate {

    private static final double NEWEST_WEIGHT = 0.05;

    /** The number of mean deviations above the mean beyond which an answer counts as overdue. */
    private static final double OVERDUE_DEVIATIONS = 6;

    /** The multiple of the mean below which an answer never counts as overdue. */
    private static final double OVERDUE_MEANS = 3;

    /** The minimum number of answers before the estimate is used. */
    private static final int MIN_SAMPLES = 20;

    private double meanMs;
    private double deviationMs;
    private int count;
    private boolean isLeaf;

    /**
     * Records a successful answer.
     *
     * @param latencyMs the latency in milliseconds
     * @param hasNoNestedCalls whether its run made no nested calls
     */
    public void record(double latencyMs, boolean hasNoNestedCalls) {
        isLeaf = hasNoNestedCalls;
        if (count == 0) {
            meanMs = latencyMs;
        }
        count = Math.min(MIN_SAMPLES, count + 1);
        deviationMs += NEWEST_WEIGHT * (Math.abs(latencyMs - meanMs) - deviationMs);
        meanMs += NEWEST_WEIGHT * (latencyMs - meanMs);
    }

    /**
     * Returns whether requests of this kind make no nested calls.
     *
     * @return whether the last recorded request made none
     */
    public boolean isLeaf() {
        return isLeaf;
    }

    /**
     * Returns the mean latency.
     *
     * @return a moving average in milliseconds
     */
    public double getMeanMs() {
        return meanMs;
    }

    /**
     * Returns the latency beyond which an answer is overdue.
     *
     * @return the latency in milliseconds, or {@link Long#MAX_VALUE} while too few answers are recorded
     */
    public long toOverdueMs() {
        if (count < MIN_SAMPLES) {
            return Long.MAX_VALUE;
        }
        return Math.round(Math.max(OVERDUE_MEANS * meanMs, meanMs + OVERDUE_DEVIATIONS * deviationMs));
    }
}
