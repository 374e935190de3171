package io.cranberryarch.decision.serving;

/** A moving share of failures that fades while nothing is observed. Not thread-safe. */
public final class FailureRatio {

    private final double newestWeight;
    private final double halfLifeMs;
    private double share;
    private long observedAtMs;

    /**
     * Creates a share of zero.
     *
     * @param newestWeight the weight of the newest observation, from 0 to 1
     * @param halfLifeMs the time without observations after which half of the share is forgotten, in milliseconds
     */
    public FailureRatio(double newestWeight, double halfLifeMs) {
        this.newestWeight = newestWeight;
        this.halfLifeMs = halfLifeMs;
    }

    /**
     * Notes an outcome.
     *
     * @param isFailed whether it was a failure
     * @param nowMs the time in milliseconds
     */
    public void record(boolean isFailed, long nowMs) {
        share = get(nowMs);
        observedAtMs = nowMs;
        share += newestWeight * ((isFailed ? 1 : 0) - share);
    }

    /**
     * Gets the share.
     *
     * @param nowMs the time in milliseconds
     * @return a share from 0 to 1
     */
    public double get(long nowMs) {
        return share * Math.pow(0.5, (nowMs - observedAtMs) / halfLifeMs);
    }
}
