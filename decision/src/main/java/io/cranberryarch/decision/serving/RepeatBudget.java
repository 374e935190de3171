package io.cranberryarch.decision.serving;

/**
 * Limits the repeated sends of one node to one service to a ratio of its first sends. The fleet shares a small
 * allowance beyond the ratio, so that the total over all nodes is bounded too. Not thread-safe.
 */
public final class RepeatBudget {

    /** The usable part of the allowed ratio; the rest covers repeats of other nodes that this node cannot observe. */
    private static final double USABLE_BUDGET_RATIO = 0.9;

    /** The usable part of the allowance that the fleet shares. */
    private static final double USABLE_SLACK_RATIO = 0.5;

    /** The time over which earned repeats accumulate, well below the window over which the ratio is evaluated. */
    private static final double MAX_ACCUMULATION_MS = 1_000;

    /** The ratio of the accumulated repeats that each rank reserves for the more important ones. */
    private static final double RESERVED_RATIO_PER_RANK = 0.25;

    /**
     * The ratio of the accumulated repeats that the first nested call of a run reserves for the later ones, whose
     * failure would waste the calls before them.
     */
    private static final double RESERVED_RATIO_FOR_PROGRESS = 0.5;

    private static final double MAX_RESERVED_RATIO = 0.75;

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
     * @param ratio the allowed repeats per first send
     * @param slack the allowed repeats of the whole fleet beyond the ratio, within a window
     */
    public RepeatBudget(double ratio, double slack) {
        this.ratio = ratio;
        this.slack = slack;
    }

    /**
     * Records a first send.
     *
     * @param nodes the number of nodes in the fleet
     * @param nowMs the time in milliseconds
     */
    public void onFirstSend(int nodes, long nowMs) {
        sendsPerS = toSendsPerS(nowMs) + MS_PER_S / MAX_ACCUMULATION_MS;
        sentAtMs = nowMs;
        tokens = Math.min(toMaxTokens(nodes, nowMs), getTokens(nodes) + ratio * USABLE_BUDGET_RATIO);
        isStarted = true;
    }

    /**
     * Records the send of a call that belongs to a repeated run. It is a repeat for this service too, but can no longer
     * be refused, so it reduces the remaining budget.
     *
     * @param nodes the number of nodes in the fleet
     * @param nowMs the time in milliseconds
     */
    public void onSendInRepeatedRun(int nodes, long nowMs) {
        tokens = Math.min(toMaxTokens(nodes, nowMs), getTokens(nodes)) - 1;
        isStarted = true;
    }

    /**
     * Acquires a repeat.
     *
     * @param nodes the number of nodes in the fleet
     * @param rank the importance of the request, 0 for the most important
     * @param progress how much of the run that makes the call is done, see {@link #toProgress}; 1 for a request that is
     *     not nested
     * @param nowMs the time in milliseconds
     * @return whether it is allowed
     */
    public boolean tryRepeat(int nodes, int rank, double progress, long nowMs) {
        double maxTokens = toMaxTokens(nodes, nowMs);
        tokens = Math.min(maxTokens, getTokens(nodes));
        isStarted = true;
        double reservedRatio = RESERVED_RATIO_PER_RANK * rank + RESERVED_RATIO_FOR_PROGRESS * (1 - progress);
        double reserved = Math.min(MAX_RESERVED_RATIO, reservedRatio) * (maxTokens - 1);
        if (tokens < 1 + reserved) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Estimates how much of a run is done from the nested calls that it has completed, as the number of its calls is
     * not known in advance.
     *
     * @param servedCalls the number of nested calls that succeeded
     * @return a ratio, 0 for none and close to 1 for many
     */
    public static double toProgress(int servedCalls) {
        return 1 - 1.0 / (1 + servedCalls);
    }

    /**
     * Returns the remaining repeats.
     *
     * @param nodes the number of nodes in the fleet
     * @return the repeats as of the last send, below 0 if repeated runs exceeded the budget
     */
    public double getRemaining(int nodes) {
        return getTokens(nodes);
    }

    private double getTokens(int nodes) {
        return isStarted ? tokens : toAllowance(nodes);
    }

    private double toMaxTokens(int nodes, long nowMs) {
        return Math.max(
                1,
                toAllowance(nodes) + ratio * USABLE_BUDGET_RATIO * toSendsPerS(nowMs) * MAX_ACCUMULATION_MS / MS_PER_S);
    }

    private double toAllowance(int nodes) {
        return USABLE_SLACK_RATIO * slack / Math.max(1, nodes);
    }

    private double toSendsPerS(long nowMs) {
        return sendsPerS * Math.exp(-(nowMs - sentAtMs) / MAX_ACCUMULATION_MS);
    }
}
