package io.cranberryarch.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits, queues or refuses calls to one upstream. Not thread-safe.
 *
 * <p>A call is refused if its level reaches the threshold of its client account or if its deadline is too close. It
 * runs if the upstream has free capacity; otherwise it waits for a short time in priority order. Calls that wait for
 * nested calls hold a slot but do not count against the concurrency limit.
 *
 * <pre>
 * control.enter(call, nowMs);
 * for (AdmissionControl.Outcome outcome : control.poll(nowMs)) {
 *     // run or refuse the call of outcome.id()
 * }
 * control.exit(call.kind(), durationMs, ownMs, false, nowMs);
 * </pre>
 */
public final class AdmissionControl {

    private static final long MAX_WAIT_MS = 100;
    private static final long MAX_NESTED_WAIT_MS = 400;
    private static final int MAX_WAITING_RATIO = 4;
    private static final int MAX_KINDS = 100;
    private static final double SMOOTHING_RATIO = 0.1;
    private static final double DECAY_RATIO = 0.98;

    /** The decision on a call. */
    public enum Verdict {
        /** The call runs now. */
        RUN,
        /** The upstream has no capacity for the call. */
        OVERLOADED,
        /** The call would not end before its deadline. */
        TOO_LATE
    }

    /**
     * The identifier of a call and the decision on it.
     *
     * @param id the identifier of the call
     * @param verdict the decision, not {@code null}
     */
    public record Outcome(long id, Verdict verdict) {}

    private final int slots;
    private final ConcurrencyLimit limit;
    private final ShedThreshold threshold;
    private final WaitingQueue queue = new WaitingQueue();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Map<String, Double> expectedMs = new HashMap<>();
    private int occupiedSlots;
    private int waitingForNested;

    /**
     * Creates an admission control without calls.
     *
     * @param slots the maximum number of calls that the upstream holds concurrently, positive
     * @param nowMs monotonic time in milliseconds
     */
    public AdmissionControl(int slots, long nowMs) {
        this.slots = slots;
        this.limit = new ConcurrencyLimit(slots, nowMs);
        this.threshold = new ShedThreshold(nowMs);
    }

    /**
     * Requests admission for a call. {@link #poll} returns the outcome.
     *
     * @param call the call, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void enter(WaitingCall call, long nowMs) {
        threshold.addArrival(call, nowMs);
        if (AdmissionLevel.isRefused(call.level(), threshold.toThreshold(call.account()), call.isNested())) {
            outcomes.add(new Outcome(call.id(), Verdict.OVERLOADED));
            return;
        }
        double requiredMs = expectedMs.getOrDefault(call.kind(), 0.0);
        if (call.deadlineMs() - nowMs < Math.max(1, requiredMs)) {
            expectedMs.computeIfPresent(call.kind(), (kind, value) -> value * DECAY_RATIO);
            outcomes.add(new Outcome(call.id(), Verdict.TOO_LATE));
            return;
        }
        if (queue.getSize() >= limit.getLimit() * MAX_WAITING_RATIO) {
            Optional<WaitingQueue.Entry> evicted = queue.evictBelow(call.priority());
            threshold.addRefusal();
            outcomes.add(new Outcome(evicted.map(entry -> entry.call().id()).orElse(call.id()), Verdict.OVERLOADED));
            if (evicted.isEmpty()) {
                return;
            }
        }
        long maxWaitMs = call.isNested() ? MAX_NESTED_WAIT_MS : MAX_WAIT_MS;
        long expiresAtMs = Math.min(nowMs + maxWaitMs, call.deadlineMs() - (long) requiredMs);
        queue.add(new WaitingQueue.Entry(call, nowMs, Math.max(nowMs + 1, expiresAtMs)));
    }

    /**
     * Records the end of a call that ran.
     *
     * @param kind the kind of the caller's request
     * @param durationMs the duration of the call, in milliseconds
     * @param ownMs the duration of the call without its nested calls, in milliseconds
     * @param isFailed whether the upstream failed to answer
     * @param nowMs monotonic time in milliseconds
     */
    public void exit(String kind, long durationMs, long ownMs, boolean isFailed, long nowMs) {
        limit.record(ownMs, isFailed, getWorking(), nowMs);
        occupiedSlots--;
        threshold.addFinish();
        if (isFailed) {
            return;
        }
        Double last = expectedMs.get(kind);
        if (last != null) {
            expectedMs.put(kind, last + SMOOTHING_RATIO * (durationMs - last));
        } else if (expectedMs.size() < MAX_KINDS) {
            expectedMs.put(kind, (double) durationMs);
        }
    }

    /** Removes an admitted call that was abandoned, without recording its latency or outcome. */
    public void abandon() {
        occupiedSlots--;
    }

    /** Records that a running call waits for a nested call. */
    public void beginNested() {
        waitingForNested++;
    }

    /** Records that a running call resumes after its nested call. */
    public void endNested() {
        waitingForNested--;
    }

    /**
     * Returns the outcomes that are decided by now.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the calls that run or are refused, each exactly once, possibly empty
     */
    public List<Outcome> poll(long nowMs) {
        threshold.rollWindow(nowMs);
        for (WaitingQueue.Entry expired : queue.removeExpired(nowMs)) {
            threshold.addRefusal();
            outcomes.add(new Outcome(expired.call().id(), Verdict.OVERLOADED));
        }
        while (occupiedSlots < slots && getWorking() < limit.getLimit()) {
            Optional<WaitingQueue.Entry> next = queue.poll();
            if (next.isEmpty()) {
                break;
            }
            occupiedSlots++;
            threshold.addStart(nowMs - next.get().arrivedAtMs());
            outcomes.add(new Outcome(next.get().call().id(), Verdict.RUN));
        }
        List<Outcome> result = List.copyOf(outcomes);
        outcomes.clear();
        return result;
    }

    /**
     * Returns whether calls wait, so that {@link #poll} has to be called again soon.
     *
     * @return whether a call waits
     */
    public boolean hasWaiting() {
        return queue.getSize() > 0;
    }

    /**
     * Returns whether some levels are refused.
     *
     * @return whether the threshold of any client account refuses calls
     */
    public boolean isShedding() {
        return threshold.isShedding();
    }

    /**
     * Returns the number of calls that run or wait.
     *
     * @return the number of calls
     */
    public int getInFlight() {
        return occupiedSlots + queue.getSize();
    }

    /**
     * Returns the concurrency limit.
     *
     * @return the maximum number of calls that the upstream processes concurrently
     */
    public int getLimit() {
        return limit.getLimit();
    }

    /**
     * Returns the threshold of a client account.
     *
     * @param account the client account
     * @return the lowest level that is refused
     */
    public int toThreshold(String account) {
        return threshold.toThreshold(account);
    }

    private int getWorking() {
        return Math.max(0, occupiedSlots - waitingForNested);
    }
}
