package io.cranberryarch.decision.serving;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Finds the request at whose run an upstream makes a nested call.
 *
 * <p>Nested calls bear no token of the request that they belong to, but they end at its deadline. Each run therefore
 * gets a deadline of its own, a few milliseconds from those of other runs, and a nested call is matched by it. Not
 * thread-safe.
 *
 * @param <T> the type of a run
 */
public final class RunRegistry<T> {

    /** The least distance between the deadlines of two runs. */
    private static final long SPACING_MS = 3;

    /** The most that a deadline is moved forward to keep the distance. */
    private static final long MAX_SHIFT_MS = 60;

    /** How far the deadline of a nested call may lie before that of its run. */
    private static final long EARLY_MS = 2;

    /**
     * How far it may lie behind, as the request reaches the upstream later than it was sent, and the call this node.
     * Of the calls of a day with slow machines, 99.3 % came within this time, see docs/measurements/platform.md.
     */
    private static final long LATE_MS = 200;

    private final TreeMap<Long, T> byDeadline = new TreeMap<>();

    /**
     * Adds a run.
     *
     * @param run the run
     * @param deadlineMs its latest end, in monotonic milliseconds
     * @return its own deadline, the same or a little earlier
     */
    public long add(T run, long deadlineMs) {
        long earliestMs = deadlineMs - MAX_SHIFT_MS;
        long ownMs = deadlineMs;
        Map.Entry<Long, T> below = byDeadline.floorEntry(ownMs + SPACING_MS - 1);
        while (below != null && below.getKey() > ownMs - SPACING_MS && ownMs > earliestMs) {
            ownMs = below.getKey() - SPACING_MS;
            below = byDeadline.floorEntry(ownMs + SPACING_MS - 1);
        }
        while (byDeadline.containsKey(ownMs)) {
            ownMs--;
        }
        byDeadline.put(ownMs, run);
        return ownMs;
    }

    /**
     * Removes a run.
     *
     * @param deadlineMs the deadline that {@link #add} returned
     */
    public void remove(long deadlineMs) {
        byDeadline.remove(deadlineMs);
    }

    /**
     * Finds the run of a nested call.
     *
     * @param deadlineMs the deadline of the call, in monotonic milliseconds
     * @return the run with the closest deadline, or empty if none is close
     */
    public Optional<T> find(long deadlineMs) {
        Map.Entry<Long, T> before = byDeadline.floorEntry(deadlineMs + EARLY_MS);
        if (before == null || before.getKey() < deadlineMs - LATE_MS) {
            return Optional.empty();
        }
        return Optional.of(before.getValue());
    }

    /**
     * Tells whether no run is known.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return byDeadline.isEmpty();
    }
}
