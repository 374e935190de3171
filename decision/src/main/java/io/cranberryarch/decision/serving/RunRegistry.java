package io.cranberryarch.decision.serving;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Maps the nested calls of an upstream to the runs that make them.
 *
 * <p>Nested calls carry no identifier of the request that they belong to, but they inherit its deadline. Each run
 * therefore gets a unique deadline, a few milliseconds apart from those of other runs, and a nested call is matched to
 * its run by deadline. Not thread-safe.
 *
 * @param <T> the type of a run
 */
public final class RunRegistry<T> {

    /** The minimum distance between the deadlines of two runs. */
    private static final long MIN_SPACING_MS = 3;

    /** The maximum time by which a deadline is moved earlier to keep the distance. */
    private static final long MAX_SHIFT_MS = 60;

    /** The maximum time by which the deadline of a nested call may precede that of its run. */
    private static final long MAX_EARLY_MS = 2;

    /**
     * The maximum time by which the deadline of a nested call may follow that of its run, since the request reaches the
     * upstream, and the call reaches this node, with a delay. On a day with slow machines, 99.3 % of the calls arrived
     * within this time, see docs/measurements/platform.md.
     */
    private static final long MAX_LATE_MS = 200;

    private final TreeMap<Long, T> byDeadline = new TreeMap<>();

    /**
     * Adds a run.
     *
     * @param run the run
     * @param deadlineMs the deadline of the request, in monotonic milliseconds
     * @return the unique deadline of the run, the same or slightly earlier
     */
    public long add(T run, long deadlineMs) {
        long earliestMs = deadlineMs - MAX_SHIFT_MS;
        long uniqueMs = deadlineMs;
        Map.Entry<Long, T> below = byDeadline.floorEntry(uniqueMs + MIN_SPACING_MS - 1);
        while (below != null && below.getKey() > uniqueMs - MIN_SPACING_MS && uniqueMs > earliestMs) {
            uniqueMs = below.getKey() - MIN_SPACING_MS;
            below = byDeadline.floorEntry(uniqueMs + MIN_SPACING_MS - 1);
        }
        while (byDeadline.containsKey(uniqueMs)) {
            uniqueMs--;
        }
        byDeadline.put(uniqueMs, run);
        return uniqueMs;
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
     * Returns the run of a nested call.
     *
     * @param deadlineMs the deadline of the call, in monotonic milliseconds
     * @return the run with the latest deadline within the tolerance, or empty if there is none
     */
    public Optional<T> find(long deadlineMs) {
        Map.Entry<Long, T> before = byDeadline.floorEntry(deadlineMs + MAX_EARLY_MS);
        if (before == null || before.getKey() < deadlineMs - MAX_LATE_MS) {
            return Optional.empty();
        }
        return Optional.of(before.getValue());
    }

    /**
     * Returns whether no run is registered.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return byDeadline.isEmpty();
    }
}
