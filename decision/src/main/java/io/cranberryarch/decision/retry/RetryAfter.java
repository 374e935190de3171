package io.cranberryarch.decision.retry;

/**
 * Adds jitter to the retry times of refused callers.
 *
 * <pre>
 * RetryAfter.toJitteredMs(1_000, randomBits); // from 1000 to 1999
 * </pre>
 */
public final class RetryAfter {

    private RetryAfter() {}

    /**
     * Returns a wait that is extended by a random fraction of itself, never shortened.
     *
     * @param waitMs the minimum wait in milliseconds; 0 or less if a retry is useless
     * @param randomBits random bits
     * @return the wait in milliseconds, less than twice the minimum, or 0 if a retry is useless
     */
    public static long toJitteredMs(long waitMs, long randomBits) {
        if (waitMs <= 0) {
            return 0;
        }
        long jitterMs = Math.floorMod(randomBits, waitMs);
        return waitMs > Long.MAX_VALUE - jitterMs ? Long.MAX_VALUE : waitMs + jitterMs;
    }
}
