package io.cranberryarch.decision.serving;

/** A moving average of the failure ratio that decays while no outcomes are recorded. Not thread-safe. */
public final class FailureRatio {

    /** The weight of the newest outcome and the half-life for all requests of an upstream. */
    private static final double UPSTREAM_NEWEST_WEIGHT = 0.05;

    private static final double UPSTREAM_HALF_LIFE_MS = 3_000;

    private final double newestWeight;
    private final double halfLifeMs;
    private double ratio;
    private long recordedAtMs;

    /**
     * Creates a ratio of zero.
     *
     * @param newestWeight the weight of the newest outcome, from 0 to 1
     * @param halfLifeMs the time without outcomes after which the ratio has decayed by half, in milliseconds
     */
    public FailureRatio(double newestWeight, double halfLifeMs) {
        this.newestWeight = newestWeight;
        this.halfLifeMs = halfLifeMs;
    }

    /**
     * Creates a ratio of zero for the requests that one upstream fails by itself.
     *
     * @return the ratio
     */
    public static FailureRatio ofUpstream() {
        return new FailureRatio(UPSTREAM_NEWEST_WEIGHT, UPSTREAM_HALF_LIFE_MS);
    }

    /**
     * Records an outcome.
     *
     * @param isFailed whether it was a failure
     * @param nowMs the time in milliseconds
     */
    public void record(boolean isFailed, long nowMs) {
        ratio = get(nowMs);
        recordedAtMs = nowMs;
        ratio += newestWeight * ((isFailed ? 1 : 0) - ratio);
    }

    /**
     * Returns the failure ratio.
     *
     * @param nowMs the time in milliseconds
     * @return a ratio from 0 to 1
     */
    public double get(long nowMs) {
        return ratio * Math.pow(0.5, (nowMs - recordedAtMs) / halfLifeMs);
    }
}
