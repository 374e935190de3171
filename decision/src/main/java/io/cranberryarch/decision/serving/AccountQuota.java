package io.cranberryarch.decision.serving;

/**
 * One node's part of the rate of a client account: a token bucket whose rate and burst are the node's share of those of
 * the fleet. Not thread-safe.
 */
public final class AccountQuota {

    private static final double DEMAND_TIME_MS = 1_500;

    /** The part of the tolerated excess that the buckets of all nodes together make use of. */
    private static final double USED_SLACK = 0.5;

    /** The demand, as a part of the rate, that is shared out evenly whatever the nodes see. */
    private static final double EVEN_PART = 0.25;

    private double tokens;
    private double depth;
    private long filledAtMs;
    private boolean isStarted;
    private double demandPerS;
    private long demandAtMs;

    /**
     * Takes a token for a request.
     *
     * @param share the node's share of the rate, from 0 to 1
     * @param ratePerS the rate of the account over the fleet
     * @param burst its burst over the fleet
     * @param slack requests that the whole fleet may exceed the limit by
     * @param nowMs the time in milliseconds
     * @return whether the request is within the rate
     */
    public boolean tryTake(double share, double ratePerS, double burst, double slack, long nowMs) {
        addDemand(nowMs);
        depth = Math.max(1, share * (burst + USED_SLACK * slack));
        if (isStarted) {
            tokens = Math.min(depth, tokens + share * ratePerS * (nowMs - filledAtMs) / 1_000.0);
        } else {
            tokens = depth;
            isStarted = true;
        }
        filledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Estimates when the next token comes.
     *
     * @param share the node's share of the rate
     * @param ratePerS the rate of the account over the fleet
     * @return milliseconds from the last call of {@link #tryTake}
     */
    public long toNextTokenMs(double share, double ratePerS) {
        return Math.round(1_000 * Math.max(0, 1 - tokens) / Math.max(0.001, share * ratePerS));
    }

    /**
     * Gets the requests a second that callers of this node ask for, within the rate or not.
     *
     * @param nowMs the time in milliseconds
     * @return a moving average
     */
    public double getDemandPerS(long nowMs) {
        return demandPerS * Math.exp(-(nowMs - demandAtMs) / DEMAND_TIME_MS);
    }

    /**
     * Computes the share of a node from what it and the others ask for. The shares of all nodes that know the same
     * demand add up to one.
     *
     * @param ownPerS the demand of this node
     * @param totalPerS the demand of all nodes, this one included
     * @param nodes the number of nodes
     * @param ratePerS the rate of the account
     * @return a share from 0 to 1
     */
    public static double toShare(double ownPerS, double totalPerS, int nodes, double ratePerS) {
        double even = EVEN_PART * ratePerS;
        return (ownPerS + even / Math.max(1, nodes)) / Math.max(0.001, totalPerS + even);
    }

    private void addDemand(long nowMs) {
        demandPerS = getDemandPerS(nowMs) + 1_000 / DEMAND_TIME_MS;
        demandAtMs = nowMs;
    }
}
