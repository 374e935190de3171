package io.cranberryarch.decision.serving;

/**
 * Limits the repeated sends of one node to one service to a part of its first sends. A few free ones are shared by
 * the fleet, so that the sum over all nodes is bounded too. Not thread-safe.
 */
public final class RepeatBudget {

    /** The part of the allowed ratio that is used; the rest covers what one node cannot see of the others. */
    private static final double USED_PART = 0.6;

    /** The part of the fleet's free repeats that the nodes use. */
    private static final double FREE_PART = 0.5;

    /** The time over which repeats may be saved up from the ratio, well below the window in which they are judged. */
    private static final double SAVED_MS = 2_000;

    /** The part of what is saved up that each rank leaves to the more important ones. */
    private static final double LEFT_PER_RANK = 0.25;

    private static final double MS_PER_S = 1_000;

    private final double ratio;
    private final double slack;
    private double tokens;
    private boolean isStarted;
    private double sendsPerS;
    private long sentAtMs;

    /**
     * Creates a budget.
     *
     * @param ratio the allowed repeats for each first send
     * @param slack the allowed repeats of the fleet beyond the ratio, within a window
     */
    public RepeatBudget(double ratio, double slack) {
        this.ratio = ratio;
        this.slack = slack;
    }

    /**
     * Notes a first send.
     *
     * @param nodes the number of nodes in the fleet
     * @param nowMs the time in milliseconds
     */
    public void onFirstSend(int nodes, long nowMs) {
        sendsPerS = toSendsPerS(nowMs) + MS_PER_S / SAVED_MS;
        sentAtMs = nowMs;
        tokens = Math.min(toCap(nodes, nowMs), getTokens(nodes) + ratio * USED_PART);
        isStarted = true;
    }

    /**
     * Notes the send of a call that belongs to a repeated run. It is a repeat for this service too, but cannot be
     * refused any more, so that it lowers what is left for others.
     *
     * @param nodes the number of nodes in the fleet
     * @param nowMs the time in milliseconds
     */
    public void onRepeatedRun(int nodes, long nowMs) {
        tokens = Math.min(toCap(nodes, nowMs), getTokens(nodes)) - 1;
        isStarted = true;
    }

    /**
     * Takes a repeat.
     *
     * @param nodes the number of nodes in the fleet
     * @param rank the importance of the request, 0 for the most important
     * @param nowMs the time in milliseconds
     * @return whether it is allowed
     */
    public boolean tryRepeat(int nodes, int rank, long nowMs) {
        double cap = toCap(nodes, nowMs);
        tokens = Math.min(cap, getTokens(nodes));
        isStarted = true;
        double left = Math.min(0.75, LEFT_PER_RANK * rank) * (cap - 1);
        if (tokens < 1 + left) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Gets the repeats that are left.
     *
     * @param nodes the number of nodes in the fleet
     * @return repeats as of the last send, below 0 if repeated runs used more than was left
     */
    public double getRemaining(int nodes) {
        return getTokens(nodes);
    }

    private double getTokens(int nodes) {
        return isStarted ? tokens : toFree(nodes);
    }

    private double toCap(int nodes, long nowMs) {
        return Math.max(1, toFree(nodes) + ratio * USED_PART * toSendsPerS(nowMs) * SAVED_MS / MS_PER_S);
    }

    private double toFree(int nodes) {
        return FREE_PART * slack / Math.max(1, nodes);
    }

    private double toSendsPerS(long nowMs) {
        return sendsPerS * Math.exp(-(nowMs - sentAtMs) / SAVED_MS);
    }
}
