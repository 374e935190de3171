package io.cranberryarch.decision.serving;

import java.util.Optional;

/**
 * Limits the rate of requests to an upstream to what the upstream names in its responses. The limit holds as long as
 * the responses name it. Not thread-safe.
 *
 * <pre>
 * limit.onResponse(sentAtMs, response.findRate(), nowMs);
 * if (limit.tryAcquire(nowMs)) {
 *     send();
 * }
 * </pre>
 */
public final class UpstreamRateLimit {

    /** The time over which unused requests accumulate, in milliseconds. */
    private static final double BURST_MS = 250;

    /**
     * The rate at which requests are sent to an upstream that names a lower one or 0, in requests a second. Only the
     * response to a request can end the limit.
     */
    private static final double MIN_RATE_PER_S = 0.5;

    private static final double MS_PER_S = 1_000;

    /** The time without a request after which one is needed to learn whether the limit still holds. */
    private static final double MAX_IDLE_MS = MS_PER_S / MIN_RATE_PER_S;

    private Optional<Double> ratePerS = Optional.empty();
    private boolean isConfirmed;
    private long namedAtMs;
    private double tokens;
    private long refilledAtMs;
    private long acquiredAtMs;

    /**
     * Applies a response of the upstream.
     *
     * <p>Responses may overtake each other. One that may be older than the response that named the limit lowers the
     * limit, but does not raise or end it.
     *
     * @param sentAtMs when the request was sent, in milliseconds
     * @param namedRatePerS the rate that the response names, in requests a second, or empty if it names none
     * @param nowMs the time in milliseconds
     */
    public void onResponse(long sentAtMs, Optional<Double> namedRatePerS, long nowMs) {
        boolean isNewer = !isConfirmed || ratePerS.isEmpty() || sentAtMs >= namedAtMs;
        isConfirmed = true;
        boolean isRaised = namedRatePerS.isEmpty() || namedRatePerS.get() > ratePerS.orElse(Double.MAX_VALUE);
        if (isRaised && !isNewer) {
            return;
        }
        namedAtMs = nowMs;
        setRate(namedRatePerS, nowMs);
    }

    /**
     * Applies the limit that another node knows from earlier responses, unless the upstream has already responded to
     * this node. The lowest of several limits applies.
     *
     * @param knownRatePerS the rate in requests a second
     * @param nowMs the time in milliseconds
     */
    public void restore(double knownRatePerS, long nowMs) {
        if (!isConfirmed && knownRatePerS < ratePerS.orElse(Double.MAX_VALUE)) {
            setRate(Optional.of(knownRatePerS), nowMs);
        }
    }

    /** Removes the limit, as another incarnation of the upstream has started. */
    public void reset() {
        ratePerS = Optional.empty();
        isConfirmed = false;
    }

    /**
     * Returns the limit.
     *
     * @return the rate in requests a second, or empty if there is no limit
     */
    public Optional<Double> getRatePerS() {
        return ratePerS;
    }

    /**
     * Returns whether the upstream has responded since its start and that of this node, so that its limit is known.
     *
     * @return whether the limit, or that there is none, is known from the upstream itself
     */
    public boolean isConfirmed() {
        return isConfirmed;
    }

    /**
     * Takes the permission to send a request.
     *
     * @param nowMs the time in milliseconds
     * @return whether the request may be sent now
     */
    public boolean tryAcquire(long nowMs) {
        if (ratePerS.isEmpty()) {
            return true;
        }
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        acquiredAtMs = nowMs;
        return true;
    }

    /**
     * Returns how long a request has to wait for the permission to be sent.
     *
     * @param ahead the number of requests that wait and precede it
     * @param nowMs the time in milliseconds
     * @return the time in milliseconds, 0 if it may be sent now
     */
    public double toWaitMs(int ahead, long nowMs) {
        if (ratePerS.isEmpty()) {
            return 0;
        }
        refill(nowMs);
        return Math.max(0, (ahead + 1 - tokens) / toEffectiveRate() * MS_PER_S);
    }

    /**
     * Returns how many requests run concurrently if they are sent at the limit. After some time without a request, all
     * slots are returned, so that the upstream is selected for one and its response tells whether the limit holds.
     *
     * @param slots the number of requests that the upstream runs concurrently without a limit
     * @param meanDurationMs the mean duration of a request, in milliseconds
     * @param nowMs the time in milliseconds
     * @return the number of requests, at most {@code slots}
     */
    public double toConcurrency(int slots, double meanDurationMs, long nowMs) {
        if (ratePerS.isEmpty() || nowMs - acquiredAtMs >= MAX_IDLE_MS) {
            return slots;
        }
        return Math.min(slots, toEffectiveRate() * meanDurationMs / MS_PER_S);
    }

    private void setRate(Optional<Double> newRatePerS, long nowMs) {
        refill(nowMs);
        if (ratePerS.isEmpty()) {
            tokens = 0;
            acquiredAtMs = nowMs;
        }
        ratePerS = newRatePerS;
        refill(nowMs);
    }

    private void refill(long nowMs) {
        double rate = toEffectiveRate();
        double capacity = Math.max(1, rate * BURST_MS / MS_PER_S);
        tokens = Math.min(capacity, tokens + (nowMs - refilledAtMs) * rate / MS_PER_S);
        refilledAtMs = nowMs;
    }

    private double toEffectiveRate() {
        return Math.max(MIN_RATE_PER_S, ratePerS.orElse(0.0));
    }
}
