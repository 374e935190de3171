package io.cranberryarch.decision.admission;

/**
 * Finds how many calls an upstream works on at once before they wait for each other. Not thread-safe.
 *
 * <p>The limit follows the latency that the gate itself observes. It shrinks when the mean latency of a window exceeds
 * the baseline by more than a tolerance or when many calls fail, and grows when it is used and latency allows. The
 * baseline is measured anew at a reduced limit from time to time, so that a slower upstream does not look overloaded
 * for good. What the upstream claims, its slots, is an upper bound only.
 *
 * <pre>
 * limit.record(ownMs, false, working, nowMs);
 * boolean hasRoom = working &lt; limit.getLimit();
 * </pre>
 */
public final class ConcurrencyLimit {

    private static final int INITIAL_LIMIT = 32;
    private static final int MIN_LIMIT = 2;
    private static final long MIN_WINDOW_MS = 100;
    private static final long MAX_WINDOW_MS = 1_000;
    private static final int MIN_SAMPLES = 30;
    private static final double TOLERANCE = 1.5;
    private static final double MAX_SHRINK = 0.7;
    private static final double FAILURE_SHRINK = 0.8;
    private static final double MAX_FAILURE_SHARE = 0.1;
    private static final double PROBE_SHARE = 0.6;
    private static final double USED_SHARE = 0.9;
    private static final long PROBE_INTERVAL_MS = 10_000;
    private static final long EARLY_PROBE_INTERVAL_MS = 1_000;

    /** What the current window is for. */
    private enum Phase {
        NORMAL,
        SETTLING,
        MEASURING
    }

    private final int slots;
    private double limit;
    private double baselineMs;
    private Phase phase = Phase.NORMAL;
    private long probedAtMs;
    private long windowStartMs;
    private long sumMs;
    private int samples;
    private int failures;
    private int mostWorking;

    /**
     * Creates a limit.
     *
     * @param slots the most calls at once, positive
     * @param nowMs monotonic time in milliseconds
     */
    public ConcurrencyLimit(int slots, long nowMs) {
        this.slots = Math.max(1, slots);
        this.limit = Math.min(this.slots, INITIAL_LIMIT);
        this.windowStartMs = nowMs;
        this.probedAtMs = nowMs;
    }

    /**
     * Notes the end of a call.
     *
     * @param ownMs the time of the call without its nested calls, in milliseconds
     * @param isFailed whether the upstream failed to answer it
     * @param working the calls that the upstream worked on, this one included
     * @param nowMs monotonic time in milliseconds
     */
    public void record(long ownMs, boolean isFailed, int working, long nowMs) {
        mostWorking = Math.max(mostWorking, working);
        samples++;
        sumMs += Math.max(0, ownMs);
        if (isFailed) {
            failures++;
        }
        long elapsedMs = nowMs - windowStartMs;
        boolean isFull = elapsedMs >= MIN_WINDOW_MS && samples >= MIN_SAMPLES;
        if (isFull || elapsedMs >= MAX_WINDOW_MS) {
            endWindow(nowMs);
        }
    }

    /**
     * Gets the limit.
     *
     * @return the most calls that the upstream should work on at once
     */
    public int getLimit() {
        double current = phase == Phase.NORMAL ? limit : limit * PROBE_SHARE;
        return (int) Math.max(Math.min(MIN_LIMIT, slots), Math.round(current));
    }

    private void endWindow(long nowMs) {
        if (samples >= MIN_SAMPLES) {
            adjust((double) sumMs / samples, nowMs);
        }
        windowStartMs = nowMs;
        sumMs = 0;
        samples = 0;
        failures = 0;
        mostWorking = 0;
    }

    private void adjust(double meanMs, long nowMs) {
        switch (phase) {
            case SETTLING -> phase = Phase.MEASURING;
            case MEASURING -> {
                baselineMs = Math.max(1, meanMs);
                phase = Phase.NORMAL;
                probedAtMs = nowMs;
            }
            default -> adjustLimit(meanMs, nowMs);
        }
    }

    private void adjustLimit(double meanMs, long nowMs) {
        if (baselineMs == 0) {
            baselineMs = Math.max(1, meanMs);
        }
        double gradient = baselineMs * TOLERANCE / Math.max(1, meanMs);
        if (failures > samples * MAX_FAILURE_SHARE) {
            limit *= FAILURE_SHRINK;
        } else if (gradient < 1) {
            limit *= Math.max(MAX_SHRINK, gradient);
        } else if (mostWorking >= limit * USED_SHARE) {
            limit += Math.sqrt(limit);
        }
        limit = Math.max(Math.min(MIN_LIMIT, slots), Math.min(slots, limit));
        long intervalMs = gradient < 1 ? EARLY_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
        if (nowMs - probedAtMs >= intervalMs) {
            phase = Phase.SETTLING;
        }
    }
}
