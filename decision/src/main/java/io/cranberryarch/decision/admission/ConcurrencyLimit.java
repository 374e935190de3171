package io.cranberryarch.decision.admission;

/**
 * Finds how many calls an upstream works on at once before they wait for each other. Not thread-safe.
 *
 * <p>The limit starts at what the upstream claims, its slots, and follows the latency that the gate itself observes. It
 * shrinks when the mean latency of a window exceeds the baseline by more than a tolerance or when many calls fail, and
 * grows when it is used and latency allows. The baseline is measured anew at a reduced limit from time to time, so that
 * a slower upstream does not look overloaded for good. Latency that falls in proportion to that reduction shows that
 * calls wait for each other even then, and the limit shrinks at once.
 *
 * <pre>
 * limit.record(ownMs, false, working, nowMs);
 * boolean hasRoom = working &lt; limit.getLimit();
 * </pre>
 */
public final class ConcurrencyLimit {

    private static final int MIN_LIMIT = 2;
    private static final long MIN_WINDOW_MS = 100;
    private static final long MAX_WINDOW_MS = 2_000;
    private static final int FULL_SAMPLES = 60;
    private static final int MIN_SAMPLES = 10;
    private static final double TOLERANCE = 2.4;
    private static final double MAX_SHRINK = 0.7;
    private static final double FAILURE_SHRINK = 0.8;
    private static final double MAX_FAILURE_SHARE = 0.1;
    private static final double PROBE_SHARE = 0.33;
    private static final double BASELINE_SMOOTHING = 0.2;
    private static final double SATURATED_FALL = 0.36;
    private static final double SATURATED_SHRINK = 0.4;
    private static final double USED_SHARE = 0.9;
    private static final long PROBE_INTERVAL_MS = 10_000;
    private static final long EARLY_PROBE_INTERVAL_MS = 1_000;
    private static final double EARLY_PROBE_GRADIENT = 0.67;

    /** What the current window is for. */
    private enum Phase {
        NORMAL,
        SETTLING,
        MEASURING
    }

    private final int slots;
    private double limit;
    private double baselineMs;
    private double usualMs;
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
        this.limit = this.slots;
        this.windowStartMs = nowMs;
        this.probedAtMs = nowMs - PROBE_INTERVAL_MS + EARLY_PROBE_INTERVAL_MS;
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
        boolean isFull = elapsedMs >= MIN_WINDOW_MS && samples >= FULL_SAMPLES;
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
        } else {
            phase = Phase.NORMAL;
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
            case MEASURING -> endProbe(meanMs, nowMs);
            default -> {
                adjustLimit(meanMs);
                startProbeIfDue(nowMs);
            }
        }
    }

    private void adjustLimit(double meanMs) {
        usualMs = Math.max(1, meanMs);
        boolean isUsed = mostWorking >= getLimit() * USED_SHARE;
        if (baselineMs == 0) {
            baselineMs = usualMs;
        } else if (mostWorking <= getLimit() * PROBE_SHARE) {
            baselineMs += BASELINE_SMOOTHING * (usualMs - baselineMs);
        }
        if (failures > samples * MAX_FAILURE_SHARE) {
            limit *= FAILURE_SHRINK;
        } else if (toGradient() < 1) {
            limit *= Math.max(MAX_SHRINK, toGradient());
        } else if (isUsed) {
            limit += Math.sqrt(limit);
        }
        limit = Math.max(Math.min(MIN_LIMIT, slots), Math.min(slots, limit));
    }

    private void startProbeIfDue(long nowMs) {
        if (mostWorking < getLimit() * USED_SHARE) {
            return;
        }
        boolean isEarly = toGradient() < EARLY_PROBE_GRADIENT;
        if (nowMs - probedAtMs >= (isEarly ? EARLY_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS)) {
            phase = Phase.SETTLING;
        }
    }

    private void endProbe(double meanMs, long nowMs) {
        baselineMs = Math.max(1, meanMs);
        phase = Phase.NORMAL;
        probedAtMs = nowMs;
        boolean isSaturated = baselineMs <= usualMs * SATURATED_FALL;
        if (isSaturated) {
            limit = Math.max(Math.min(MIN_LIMIT, slots), limit * SATURATED_SHRINK);
            probedAtMs = nowMs - PROBE_INTERVAL_MS + EARLY_PROBE_INTERVAL_MS;
        }
    }

    private double toGradient() {
        return baselineMs * TOLERANCE / usualMs;
    }
}
