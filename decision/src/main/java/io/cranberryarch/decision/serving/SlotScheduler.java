package io.cranberryarch.decision.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests of one upstream run, which wait for a slot or for the upstream's rate limit, and which are
 * refused, as they cannot run in time or another instance may run them sooner. Not thread-safe.
 *
 * <pre>
 * switch (scheduler.offer(run, rank, deadlineMs, limit, nowMs)) {
 *     case START -&gt; run.start();
 *     case WAIT -&gt; scheduleExpiryCheck();
 *     case REFUSE -&gt; run.refuse();
 * }
 * </pre>
 *
 * @param <T> the type of a request
 */
public final class SlotScheduler<T> {

    /** The weight of the newest run in the moving average of run durations. */
    private static final double DURATION_SMOOTHING_FACTOR = 0.02;

    private static final double INITIAL_DURATION_MS = 50;

    /** The share of the slots reserved for new connections and health checks, which briefly occupy a slot. */
    private static final double RESERVED_SLOT_RATIO = 0.05;

    /** The maximum time that a request waits for the rate limit, as another instance may have capacity to spare. */
    private static final double MAX_RATE_LIMIT_WAIT_MS = 200;

    private final UpstreamRateLimit rateLimit;
    private final RankQueue<T> waiting = new RankQueue<>();
    private final Set<T> running = new HashSet<>();
    private double meanDurationMs = INITIAL_DURATION_MS;

    /** Creates a scheduler without a rate limit. */
    public SlotScheduler() {
        this(new UpstreamRateLimit());
    }

    /**
     * Creates a scheduler.
     *
     * @param rateLimit the rate limit of the upstream, which may change later
     */
    public SlotScheduler(UpstreamRateLimit rateLimit) {
        this.rateLimit = rateLimit;
    }

    /** What to do with a new request. */
    public enum Decision {
        /** The request runs now and occupies a slot. */
        START,
        /** The request waits; {@link #pollNext} returns it once a slot is free and the rate limit permits it. */
        WAIT,
        /** The request cannot run in time, or would wait too long for the rate limit. */
        REFUSE
    }

    /**
     * Returns the limit for an upstream. Some upstreams slow down when nearly all slots are in use.
     *
     * @param slots the number of requests that the upstream runs concurrently
     * @return the number of slots without the reserved ones, at least 1
     */
    public static int toLimit(int slots) {
        return Math.max(1, slots - (int) Math.ceil(slots * RESERVED_SLOT_RATIO));
    }

    /**
     * Decides what to do with a new request.
     *
     * @param item the request
     * @param rank its importance, 0 for the most important
     * @param deadlineMs the time at which its answer is due, in milliseconds
     * @param limit the number of requests that may run concurrently
     * @param nowMs the time in milliseconds
     * @return the decision
     */
    public Decision offer(T item, int rank, long deadlineMs, int limit, long nowMs) {
        boolean isSlotFree = running.size() < limit;
        int ahead = waiting.countAhead(rank);
        double rateLimitWaitMs = rateLimit.toWaitMs(ahead, nowMs);
        if (isSlotFree && rateLimitWaitMs == 0 && rateLimit.tryAcquire(nowMs)) {
            running.add(item);
            return Decision.START;
        }
        double slotWaitMs = isSlotFree ? 0 : (ahead + 1) * meanDurationMs / limit;
        double waitMs = Math.max(slotWaitMs, rateLimitWaitMs);
        if (rateLimitWaitMs > MAX_RATE_LIMIT_WAIT_MS || waitMs + meanDurationMs > deadlineMs - nowMs) {
            return Decision.REFUSE;
        }
        waiting.add(item, rank, deadlineMs - Math.round(meanDurationMs));
        return Decision.WAIT;
    }

    /**
     * Removes the next waiting request if a slot is free and the rate limit permits it; it then runs.
     *
     * @param limit the number of requests that may run concurrently
     * @param nowMs the time in milliseconds
     * @return the request, or empty if none waits or none may start
     */
    public Optional<T> pollNext(int limit, long nowMs) {
        boolean isStartable = running.size() < limit && waiting.getSize() > 0;
        if (!isStartable || !rateLimit.tryAcquire(nowMs)) {
            return Optional.empty();
        }
        Optional<T> next = waiting.poll();
        next.ifPresent(running::add);
        return next;
    }

    /**
     * Removes the waiting requests that can no longer end in time.
     *
     * @param nowMs the time in milliseconds
     * @return the removed requests
     */
    public List<T> removeExpired(long nowMs) {
        return waiting.removeExpired(nowMs);
    }

    /**
     * Removes all waiting requests.
     *
     * @return the removed requests
     */
    public List<T> removeAllWaiting() {
        return waiting.removeExpired(Long.MAX_VALUE);
    }

    /**
     * Returns the running requests.
     *
     * @return a copy
     */
    public List<T> getRunning() {
        return new ArrayList<>(running);
    }

    /**
     * Removes a request that waits.
     *
     * @param item the request
     * @return whether it was waiting
     */
    public boolean removeWaiting(T item) {
        return waiting.remove(item);
    }

    /**
     * Frees the slot of a request.
     *
     * @param item the request
     * @return whether it was running
     */
    public boolean release(T item) {
        return running.remove(item);
    }

    /**
     * Records how long a completed run took.
     *
     * @param durationMs the time from its start to its answer, in milliseconds
     */
    public void recordDuration(double durationMs) {
        meanDurationMs += DURATION_SMOOTHING_FACTOR * (durationMs - meanDurationMs);
    }

    /**
     * Returns the concurrency that the reported load refers to: the slots, or fewer if the rate limit does not permit
     * to use them all.
     *
     * @param limit the number of requests that may run concurrently
     * @param nowMs the time in milliseconds
     * @return the mean number of requests in progress at full load, which may be a fraction
     */
    public double toUsableConcurrency(int limit, long nowMs) {
        return rateLimit.toConcurrency(limit, meanDurationMs, nowMs);
    }

    /**
     * Returns the number of running requests.
     *
     * @return the number of requests
     */
    public int countRunning() {
        return running.size();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int countWaiting() {
        return waiting.getSize();
    }
}
