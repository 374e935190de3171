package io.cranberryarch.base;

/**
 * Limits the number of log lines per second. Not thread-safe.
 *
 * <pre>
 * if (limiter.tryAcquire(clock.monotonicMs())) {
 *     write(line);
 * }
 * </pre>
 */
public final class LogRateLimiter {

    private static final long WINDOW_MS = 1_000;

    private int maxLinesPerSecond;
    private long windowStartMs;
    private int linesInWindow;

    /**
     * Creates a limiter.
     *
     * @param maxLinesPerSecond the maximum number of lines per second
     */
    public LogRateLimiter(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /**
     * Changes the limit. Lines already recorded in the current second continue to count.
     *
     * @param newMaxLinesPerSecond the maximum number of lines per second
     */
    public void setLinesPerSecond(int newMaxLinesPerSecond) {
        maxLinesPerSecond = newMaxLinesPerSecond;
    }

    /**
     * Records a line and checks whether it is within the limit of the current second.
     *
     * @param nowMs the monotonic time in milliseconds
     * @return whether the line may be written
     */
    public boolean tryAcquire(long nowMs) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            linesInWindow = 0;
        }
        linesInWindow++;
        return linesInWindow <= maxLinesPerSecond;
    }
}
