package io.cranberryarch.decision.admission;

/**
 * Adapts the concurrency limit of an upstream to the number of calls that it processes without queueing. Not
 * thread-safe.
 *
 * <p>The limit starts at the number of slots that the upstream declares and follows the latency observed by the gate.
 * It shrinks when the mean latency of a window exceeds the baseline by more than a tolerance or when many calls fail,
 * and grows when it is used and latency permits. The baseline is periodically measured again at a reduced limit, so
 * that an upstream that has become slower does not appear overloaded permanently. If latency falls in proportion to
 * that reduction, calls queue even at the reduced limit, and the limit shrinks immediately.
 *
 * <pre>
 * limit.record(ownMs, false, working, nowMs);
 * boolean hasCapacity = working &lt; limit.getLimit();
 * </pre>
 */
public final class ConcurrencyLimit {

    private static final int MIN_LIMIT = 2;
    private static final long MIN_WINDOW_MS = 100;
    private static final long MAX_WINDOW_MS = 2_000;
    private static final int FULL_WINDOW_SAMPLES = 60;
    private static final int MIN_SAMPLES = 10;
    private static final double LATENCY_TOLERANCE_RATIO = 2.4;
    private static final double MIN_SHRINK_RATIO = 0.7;
    private static final double FAILURE_SHRINK_RATIO = 0.8;
    private static final double MAX_FAILURE_RATIO = 0.1;
    private static final double PROBE_LIMIT_RATIO = 0.33;
    private static final double BASELINE_SMOOTHING_RATIO = 0.2;
    private static final double MAX_SATURATED_LATENCY_RATIO = 0.36;
    private static final double SATURATED_SHRINK_RATIO = 0.4;
    private static final double MIN_USED_RATIO = 0.9;
    private static final long PROBE_INTERVAL_MS = 10_000;
    private static final long EARLY_PROBE_INTERVAL_MS = 1_000;
    private static final double MAX_EARLY_PROBE_GRADIENT = 0.67;

    /** The purpose of the current window. */
    private enum Phase {
        NORMAL,
        SETTLING,
        MEASURING
    }

    private final int slots;
    private double limit;
    private double baselineMs;
    private double recentMs;
    private Phase phase = Phase.NORMAL;
    private long probedAtMs;
    private long windowStartMs;
    private long sumMs;
    private int samples;
    private int failures;
    private int maxWorking;

    /**
     * Creates a limit at the number of slots.
     *
     * @param slots the maximum number of concurrent calls, positive
     * @param nowMs monotonic time in milliseconds
     */
    public ConcurrencyLimit(int slots, long nowMs) {
        this.slots = Math.max(1, slots);
        this.limit = this.slots;
        this.windowStartMs = nowMs;
        this.probedAtMs = nowMs - PROBE_INTERVAL_MS + EARLY_PROBE_INTERVAL_MS;
    }

    /**
     * Records the end of a call.
     *
     * @param ownMs the duration of the call without its nested calls, in milliseconds
     * @param isFailed whether the upstream failed to answer it
     * @param working the number of calls that the upstream processed, including this one
     * @param nowMs monotonic time in milliseconds
     */
    public void record(long ownMs, boolean isFailed, int working, long nowMs) {
        maxWorking = Math.max(maxWorking, working);
        samples++;
        sumMs += Math.max(0, ownMs);
        if (isFailed) {
            failures++;
        }
        long elapsedMs = nowMs - windowStartMs;
        boolean isFull = elapsedMs >= MIN_WINDOW_MS && samples >= FULL_WINDOW_SAMPLES;
        if (isFull || elapsedMs >= MAX_WINDOW_MS) {
            endWindow(nowMs);
        }
    }

    /**
     * Returns the limit.
     *
     * @return the maximum number of calls that the upstream should process concurrently
     */
    public int getLimit() {
        double current = phase == Phase.NORMAL ? limit : limit * PROBE_LIMIT_RATIO;
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
        maxWorking = 0;
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
        recentMs = Math.max(1, meanMs);
        boolean isUsed = maxWorking >= getLimit() * MIN_USED_RATIO;
        if (baselineMs == 0) {
            baselineMs = recentMs;
        } else if (maxWorking <= getLimit() * PROBE_LIMIT_RATIO) {
            baselineMs += BASELINE_SMOOTHING_RATIO * (recentMs - baselineMs);
        }
        if (failures > samples * MAX_FAILURE_RATIO) {
            limit *= FAILURE_SHRINK_RATIO;
        } else if (toGradient() < 1) {
            limit *= Math.max(MIN_SHRINK_RATIO, toGradient());
        } else if (isUsed) {
            limit += Math.sqrt(limit);
        }
        limit = Math.max(Math.min(MIN_LIMIT, slots), Math.min(slots, limit));
    }

    private void startProbeIfDue(long nowMs) {
        if (maxWorking < getLimit() * MIN_USED_RATIO) {
            return;
        }
        boolean isEarly = toGradient() < MAX_EARLY_PROBE_GRADIENT;
        if (nowMs - probedAtMs >= (isEarly ? EARLY_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS)) {
            phase = Phase.SETTLING;
        }
    }

    private void endProbe(double meanMs, long nowMs) {
        baselineMs = Math.max(1, meanMs);
        phase = Phase.NORMAL;
        probedAtMs = nowMs;
        boolean isSaturated = baselineMs <= recentMs * MAX_SATURATED_LATENCY_RATIO;
        if (isSaturated) {
            limit = Math.max(Math.min(MIN_LIMIT, slots), limit * SATURATED_SHRINK_RATIO);
            probedAtMs = nowMs - PROBE_INTERVAL_MS + EARLY_PROBE_INTERVAL_MS;
        }
    }

    private double toGradient() {
        return baselineMs * LATENCY_TOLERANCE_RATIO / recentMs;
    }
}
