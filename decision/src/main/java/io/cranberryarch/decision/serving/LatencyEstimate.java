package io.cranberryarch.decision.serving;

/** Learns how long requests of one kind take, to tell when an answer is overdue. Not thread-safe. */
public final class LatencyEstimate {

    private static final double NEWEST_WEIGHT = 0.05;

    /** Mean deviations above the mean beyond which an answer counts as overdue. */
    private static final double OVERDUE_DEVIATIONS = 6;

    /** Multiples of the mean below which an answer never counts as overdue. */
    private static final double OVERDUE_MEANS = 3;

    /** Answers after which the estimate is used. */
    private static final int ENOUGH = 20;

    private double meanMs;
    private double deviationMs;
    private int count;
    private boolean isLeaf;

    /**
     * Notes a successful answer.
     *
     * @param tookMs how long it took, in milliseconds
     * @param hasNoCalls whether its run made no calls of its own
     */
    public void record(double tookMs, boolean hasNoCalls) {
        isLeaf = hasNoCalls;
        if (count == 0) {
            meanMs = tookMs;
        }
        count = Math.min(ENOUGH, count + 1);
        deviationMs += NEWEST_WEIGHT * (Math.abs(tookMs - meanMs) - deviationMs);
        meanMs += NEWEST_WEIGHT * (tookMs - meanMs);
    }

    /**
     * Tells whether such requests make no calls of their own.
     *
     * @return whether the last one made none
     */
    public boolean isLeaf() {
        return isLeaf;
    }

    /**
     * Gets the mean.
     *
     * @return a moving average in milliseconds
     */
    public double getMeanMs() {
        return meanMs;
    }

    /**
     * Gets the time after which an answer is overdue.
     *
     * @return milliseconds, or the largest number while too little is known
     */
    public long toOverdueMs() {
        if (count < ENOUGH) {
            return Long.MAX_VALUE;
        }
        return Math.round(Math.max(OVERDUE_MEANS * meanMs, meanMs + OVERDUE_DEVIATIONS * deviationMs));
    }
}
