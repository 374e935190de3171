package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Maps the nested calls of an upstream to the runs that make them.
 *
 * <p>A nested call is matched by the identifier of its parent request where its own identifier shows it, and by its
 * deadline otherwise: calls inherit the deadline of their run, unless their own time limit is shorter. Each run
 * therefore gets a unique deadline, a few milliseconds apart from those of other runs. Not thread-safe.
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
    private final Map<String, Long> deadlinesById = new HashMap<>();

    /**
     * Adds a run.
     *
     * @param run the run
     * @param requestId the identifier of its request, empty if unknown
     * @param deadlineMs the deadline of the request, in monotonic milliseconds
     * @return the unique deadline of the run, the same or slightly earlier
     */
    public long add(T run, String requestId, long deadlineMs) {
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
        if (!requestId.isEmpty()) {
            deadlinesById.put(requestId, uniqueMs);
        }
        return uniqueMs;
    }

    /**
     * Removes a run.
     *
     * @param requestId the identifier of its request
     * @param deadlineMs the deadline that {@link #add} returned
     */
    public void remove(String requestId, long deadlineMs) {
        byDeadline.remove(deadlineMs);
        // Another run of the same request may have been added since.
        deadlinesById.remove(requestId, deadlineMs);
    }

    /**
     * Returns the run of a nested call.
     *
     * @param parentId the identifier of the parent request according to that of the call, or empty if unknown
     * @param deadlineMs the deadline of the call, in monotonic milliseconds
     * @return the run of the parent request if its deadline is not clearly before that of the call, else the run with
     *     the latest deadline within the tolerance, or empty if there is none
     */
    public Optional<T> find(Optional<String> parentId, long deadlineMs) {
        Long parentDeadlineMs = parentId.map(deadlinesById::get).orElse(null);
        if (parentDeadlineMs != null && parentDeadlineMs >= deadlineMs - MAX_LATE_MS) {
            return Optional.of(byDeadline.get(parentDeadlineMs));
        }
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
