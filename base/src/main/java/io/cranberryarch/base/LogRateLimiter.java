package io.cranberryarch.base;

/**
 * Allows a number of log lines a second. Not thread-safe.
 *
 * <pre>
 * if (limit.tryAcquire(clock.monotonicMs())) {
 *     write(line);
 * }
 * </pre>
 */
public final class LogRateLimiter {

    private static final long WINDOW_MS = 1_000;

    private int linesPerS;
    private long windowStartMs;
    private int lines;

    /**
     * Creates a limit.
     *
     * @param linesPerS the most lines a second
     */
    public LogRateLimiter(int linesPerS) {
        this.linesPerS = linesPerS;
    }

    /**
     * Changes the limit.
     *
     * @param newLinesPerS the most lines a second
     */
    public void setLinesPerSecond(int newLinesPerS) {
        linesPerS = newLinesPerS;
    }

    /**
     * Tells whether a further line fits into the current second, and counts it.
     *
     * @param nowMs the time in milliseconds
     * @return whether the line may be written
     */
    public boolean tryAcquire(long nowMs) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            lines = 0;
        }
        lines++;
        return lines <= linesPerS;
    }
}
