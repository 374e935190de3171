package io.cranberryarch.decision.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks refused requests and the retry times given to their callers, so that callers which honor these times take
 * precedence over new requests. Not thread-safe.
 */
public final class RetryAfterTracker {

    private static final int MAX_REFUSALS = 10_000;

    /** The time after the given retry time within which a retry still takes precedence. */
    private static final long GRACE_MS = 2_000;

    /** The minimum ratio of the given wait that a caller must observe, as some callers shorten long waits. */
    private static final double MIN_WAIT_RATIO = 0.5;

    private final LinkedHashMap<Long, Refusal> refusals = new LinkedHashMap<>();

    /**
     * Records a refusal.
     *
     * @param fingerprint the fingerprint that identifies the request when it is sent again
     * @param nowMs the time in milliseconds
     * @param retryAtMs the retry time given to the caller, in milliseconds
     */
    public void onRefused(long fingerprint, long nowMs, long retryAtMs) {
        refusals.remove(fingerprint);
        refusals.put(fingerprint, new Refusal(nowMs, retryAtMs));
        Iterator<Map.Entry<Long, Refusal>> iterator = refusals.entrySet().iterator();
        while (iterator.hasNext() && refusals.size() > MAX_REFUSALS) {
            iterator.next();
            iterator.remove();
        }
    }

    /**
     * Returns whether a request was refused before and its caller honored the retry time, and removes the refusal, so
     * that each one counts once.
     *
     * @param fingerprint the fingerprint of the request
     * @param nowMs the time in milliseconds
     * @return whether it takes precedence over new requests
     */
    public boolean consumeHonoredRefusal(long fingerprint, long nowMs) {
        Refusal refusal = refusals.remove(fingerprint);
        if (refusal == null || nowMs > refusal.retryAtMs() + GRACE_MS) {
            return false;
        }
        double minWaitMs = MIN_WAIT_RATIO * (refusal.retryAtMs() - refusal.refusedAtMs());
        return nowMs - refusal.refusedAtMs() >= minWaitMs;
    }

    /** The time of a refusal and the retry time given to the caller. */
    private record Refusal(long refusedAtMs, long retryAtMs) {}
}
