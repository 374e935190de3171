package io.cranberryarch.decision.retry;

/**
 * Spreads the times at which refused callers come back.
 *
 * <pre>
 * RetryAfter.toJitteredMs(1_000, randomBits); // from 1000 to 1999
 * </pre>
 */
public final class RetryAfter {

    private RetryAfter() {}

    /**
     * Lengthens a wait by a random share of itself, never shortens it.
     *
     * @param waitMs the shortest wait in milliseconds; 0 or less means that coming back is of no use
     * @param randomBits random bits
     * @return a wait below twice the shortest one, or 0
     */
    public static long toJitteredMs(long waitMs, long randomBits) {
        if (waitMs <= 0) {
            return 0;
        }
        long jitterMs = Math.floorMod(randomBits, waitMs);
        return waitMs > Long.MAX_VALUE - jitterMs ? Long.MAX_VALUE : waitMs + jitterMs;
    }
}
