package io.cranberryarch.decision.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers requests that were refused and told when to come back, so that those that kept to it go before new ones.
 * Not thread-safe.
 */
public final class RetryAfterTracker {

    private static final int MAX_REMEMBERED = 10_000;

    /** How long after the time that it was told a caller may come back and still goes first. */
    private static final long GRACE_MS = 2_000;

    /** How much earlier than told a caller may come, as some shorten long waits. */
    private static final double LEAST_WAIT = 0.5;

    private final LinkedHashMap<Long, Promise> promises = new LinkedHashMap<>();

    /**
     * Notes a refusal.
     *
     * @param mark what the request is known by when it is sent again
     * @param nowMs the time in milliseconds
     * @param returnAtMs when the caller was told to come back
     */
    public void onRefused(long mark, long nowMs, long returnAtMs) {
        promises.remove(mark);
        promises.put(mark, new Promise(nowMs, returnAtMs));
        Iterator<Map.Entry<Long, Promise>> oldest = promises.entrySet().iterator();
        while (oldest.hasNext() && promises.size() > MAX_REMEMBERED) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Tells whether a request was refused before and its caller waited as told. Each refusal counts once.
     *
     * @param mark what the request is known by
     * @param nowMs the time in milliseconds
     * @return whether it goes before new ones
     */
    public boolean consumeHonored(long mark, long nowMs) {
        Promise promise = promises.remove(mark);
        if (promise == null || nowMs > promise.returnAtMs() + GRACE_MS) {
            return false;
        }
        double leastMs = LEAST_WAIT * (promise.returnAtMs() - promise.refusedAtMs());
        return nowMs - promise.refusedAtMs() >= leastMs;
    }

    /** A refusal and the time of return that the caller was told. */
    private record Promise(long refusedAtMs, long returnAtMs) {}
}
