package io.cranberryarch.decision.rate;

/**
 * A bucket that fills at a rate and admits a call for each token.
 *
 * <p>Over any span of {@code t} seconds it admits at most {@code rate * t + burst} calls. Not thread-safe.
 *
 * <pre>
 * TokenBucket bucket = new TokenBucket(10, 5, nowMs);
 * boolean admitted = bucket.tryTake(1, nowMs);
 * </pre>
 */
public final class TokenBucket {

    private static final double MS_PER_SECOND = 1_000;

    private double ratePerSecond;
    private double burst;
    private double level;
    private long filledAtMs;

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond tokens a second, not negative
     * @param burst the most tokens that gather, not negative
     * @param nowMs monotonic time in milliseconds
     */
    public TokenBucket(double ratePerSecond, double burst, long nowMs) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst;
        this.filledAtMs = nowMs;
    }

    /**
     * Changes rate and burst. Tokens above the new burst are lost.
     *
     * @param newRatePerSecond tokens a second, not negative
     * @param newBurst the most tokens that gather, not negative
     * @param nowMs monotonic time in milliseconds
     */
    public void configure(double newRatePerSecond, double newBurst, long nowMs) {
        fill(nowMs);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /**
     * Takes tokens if there are enough.
     *
     * @param tokens the number of tokens, not negative
     * @param nowMs monotonic time in milliseconds
     * @return whether they were taken
     */
    public boolean tryTake(double tokens, long nowMs) {
        fill(nowMs);
        if (level < tokens) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /**
     * Computes when tokens will be there if nobody else takes them.
     *
     * @param tokens the number of tokens, not negative
     * @param nowMs monotonic time in milliseconds
     * @return the wait in milliseconds, {@link Long#MAX_VALUE} if it has no end
     */
    public long toWaitMs(double tokens, long nowMs) {
        fill(nowMs);
        if (level >= tokens) {
            return 0;
        }
        if (ratePerSecond <= 0 || tokens > burst) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - level) / ratePerSecond * MS_PER_SECOND);
    }

    private void fill(long nowMs) {
        long elapsedMs = Math.max(0, nowMs - filledAtMs);
        level = Math.min(burst, level + ratePerSecond * elapsedMs / MS_PER_SECOND);
        filledAtMs = Math.max(filledAtMs, nowMs);
    }
}
