package io.cranberryarch.decision.serving;

/**
 * Limits the repeated sends of one node to one service to a part of its first sends. A few free ones are shared by
 * the fleet, so that the sum over all nodes is bounded too. Not thread-safe.
 */
public final class RepeatBudget {

    /** The part of the allowed ratio that is used; the rest covers what one node cannot see of the others. */
    private static final double USED_PART = 0.6;

    /** The part of the fleet's free repeats that one node saves up from its ratio. */
    private static final double SAVED_PART = 0.5;

    private final double ratio;
    private final double slack;
    private double tokens;
    private boolean isStarted;

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
     */
    public void onFirstSend(int nodes) {
        tokens = Math.min(toCap(nodes), getTokens(nodes) + ratio * USED_PART);
        isStarted = true;
    }

    /**
     * Takes a repeat.
     *
     * @param nodes the number of nodes in the fleet
     * @return whether it is allowed
     */
    public boolean tryRepeat(int nodes) {
        tokens = getTokens(nodes);
        isStarted = true;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private double getTokens(int nodes) {
        return isStarted ? tokens : toFree(nodes);
    }

    private double toCap(int nodes) {
        return Math.max(1, toFree(nodes));
    }

    private double toFree(int nodes) {
        return SAVED_PART * slack / Math.max(1, nodes);
    }
}
