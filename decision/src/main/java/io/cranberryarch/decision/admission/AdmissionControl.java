package io.cranberryarch.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits calls to one upstream, or refuses them at once. Not thread-safe.
 *
 * <p>A call runs if the threshold of its client account admits its level, it has time enough left, and the upstream has
 * room; else it waits for a short time, the most important first. Calls that wait for nested calls hold a slot but do
 * not count against the concurrency limit.
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
    private static final int WAITING_PER_LIMIT = 4;
    private static final int MAX_KINDS = 100;
    private static final double SMOOTHING = 0.1;
    private static final double DECAY = 0.98;

    /** What becomes of a call. */
    public enum Verdict {
        /** The call runs now. */
        RUN,
        /** There is no room for the call. */
        OVERLOADED,
        /** The call would not end in time. */
        TOO_LATE
    }

    /**
     * What becomes of one call.
     *
     * @param id the identifier of the call
     * @param verdict whether it runs
     */
    public record Outcome(long id, Verdict verdict) {}

    private final int slots;
    private final ConcurrencyLimit limit;
    private final ShedThreshold threshold;
    private final WaitingQueue queue = new WaitingQueue();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Map<String, Double> expectedMs = new HashMap<>();
    private int held;
    private int nested;

    /**
     * Creates a control.
     *
     * @param slots the most calls that the upstream holds at once, positive
     * @param nowMs monotonic time in milliseconds
     */
    public AdmissionControl(int slots, long nowMs) {
        this.slots = slots;
        this.limit = new ConcurrencyLimit(slots, nowMs);
        this.threshold = new ShedThreshold(nowMs);
    }

    /**
     * Asks for admission. The outcome comes with {@link #poll}.
     *
     * @param call the call
     * @param nowMs monotonic time in milliseconds
     */
    public void enter(WaitingCall call, long nowMs) {
        threshold.addArrival(call, nowMs);
        if (call.level() >= threshold.toThreshold(call.account())) {
            outcomes.add(new Outcome(call.id(), Verdict.OVERLOADED));
            return;
        }
        double needMs = expectedMs.getOrDefault(call.kind(), 0.0);
        if (call.deadlineMs() - nowMs < Math.max(1, needMs)) {
            expectedMs.computeIfPresent(call.kind(), (kind, value) -> value * DECAY);
            outcomes.add(new Outcome(call.id(), Verdict.TOO_LATE));
            return;
        }
        if (queue.getSize() >= limit.getLimit() * WAITING_PER_LIMIT) {
            Optional<WaitingQueue.Entry> evicted = queue.evictBelow(call.priority());
            threshold.addRefusal();
            outcomes.add(new Outcome(evicted.map(entry -> entry.call().id()).orElse(call.id()), Verdict.OVERLOADED));
            if (evicted.isEmpty()) {
                return;
            }
        }
        long expiresAtMs = Math.min(nowMs + MAX_WAIT_MS, call.deadlineMs() - (long) needMs);
        queue.add(new WaitingQueue.Entry(call, nowMs, Math.max(nowMs + 1, expiresAtMs)));
    }

    /**
     * Notes the end of a call that ran.
     *
     * @param kind the kind of the caller's request
     * @param durationMs the time of the call, in milliseconds
     * @param ownMs the time of the call without its nested calls, in milliseconds
     * @param isFailed whether the upstream failed to answer
     * @param nowMs monotonic time in milliseconds
     */
    public void exit(String kind, long durationMs, long ownMs, boolean isFailed, long nowMs) {
        limit.record(ownMs, isFailed, getWorking(), nowMs);
        held--;
        threshold.addFinish();
        if (isFailed) {
            return;
        }
        Double last = expectedMs.get(kind);
        if (last != null) {
            expectedMs.put(kind, last + SMOOTHING * (durationMs - last));
        } else if (expectedMs.size() < MAX_KINDS) {
            expectedMs.put(kind, (double) durationMs);
        }
    }

    /** Notes that a running call waits for a nested call. */
    public void beginNested() {
        nested++;
    }

    /** Notes that a running call goes on after its nested call. */
    public void endNested() {
        nested--;
    }

    /**
     * Decides what can be decided now.
     *
     * @param nowMs monotonic time in milliseconds
     * @return calls that run or are refused, each of them once
     */
    public List<Outcome> poll(long nowMs) {
        threshold.roll(nowMs);
        for (WaitingQueue.Entry expired : queue.removeExpired(nowMs)) {
            threshold.addRefusal();
            outcomes.add(new Outcome(expired.call().id(), Verdict.OVERLOADED));
        }
        while (held < slots && getWorking() < limit.getLimit()) {
            Optional<WaitingQueue.Entry> next = queue.poll();
            if (next.isEmpty()) {
                break;
            }
            held++;
            threshold.addStart(nowMs - next.get().arrivedAtMs());
            outcomes.add(new Outcome(next.get().call().id(), Verdict.RUN));
        }
        List<Outcome> result = List.copyOf(outcomes);
        outcomes.clear();
        return result;
    }

    /**
     * Checks whether calls wait, so that {@link #poll} has to be called again soon.
     *
     * @return whether a call waits
     */
    public boolean hasWaiting() {
        return queue.getSize() > 0;
    }

    /**
     * Gets the calls that run or wait.
     *
     * @return the number of calls
     */
    public int getInFlight() {
        return held + queue.getSize();
    }

    /**
     * Gets the limit.
     *
     * @return the most calls that the upstream works on at once
     */
    public int getLimit() {
        return limit.getLimit();
    }

    /**
     * Gets the threshold of a client account.
     *
     * @param account the client account
     * @return the lowest level that is refused
     */
    public int toThreshold(String account) {
        return threshold.toThreshold(account);
    }

    private int getWorking() {
        return Math.max(0, held - nested);
    }
}
