package io.cranberryarch.decision.serving;

/**
 * Staggers the long polls of the nodes of a fleet, so that in each interval the poll of one node ends. A connection to
 * the store that went silent can only be detected when a poll ends without a response. The node that detects it passes
 * newer rules on to the others, which may still be waiting on silent connections of their own.
 */
public final class LongPollSchedule {

    /** The interval in which a poll of some node ends. */
    public static final long INTERVAL_MS = 1_000;

    /** The maximum number of intervals between two polls of a node, below the maximum wait that stores accept. */
    private static final int MAX_INTERVALS = 28;

    /** A poll that would end sooner is extended by a period, as an early response would otherwise repeat it at once. */
    private static final long MIN_WAIT_MS = INTERVAL_MS / 2;

    private LongPollSchedule() {}

    /**
     * Returns how long the next poll of a node waits for a change.
     *
     * @param nowMs the time in milliseconds, of a clock that all nodes share
     * @param rank the position of the node among the nodes that pass rules on to each other, from 0
     * @param nodes the number of these nodes, at least 1
     * @return the time in milliseconds
     */
    public static long toWaitMs(long nowMs, int rank, int nodes) {
        int intervals = Math.min(MAX_INTERVALS, Math.max(1, nodes));
        long periodMs = intervals * INTERVAL_MS;
        long endMs = rank % intervals * INTERVAL_MS;
        long waitMs = Math.floorMod(endMs - nowMs, periodMs);
        return waitMs < MIN_WAIT_MS ? waitMs + periodMs : waitMs;
    }

    /**
     * Returns the maximum time for which a poll waits in a fleet.
     *
     * @param nodes the number of nodes that pass rules on to each other, at least 1
     * @return the time in milliseconds
     */
    public static long toMaxWaitMs(int nodes) {
        return Math.min(MAX_INTERVALS, Math.max(1, nodes)) * INTERVAL_MS + MIN_WAIT_MS;
    }
}
