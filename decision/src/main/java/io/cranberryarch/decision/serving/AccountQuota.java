package io.cranberryarch.decision.serving;

/**
 * One node's part of the rate of a client account.
 *
 * <p>The node spends its share of the rate and the burst from a token bucket of its own; the shares of all nodes add up
 * to one. Since callers are few and come unevenly, one node's bucket overflows while another's is empty. The node
 * therefore also follows a bucket of the whole fleet, from what all nodes say they admitted, and borrows from what lies
 * unused there. What may be spent twice that way, from the fleet's bucket and from the nodes' own, is covered by the
 * tolerated excess. Not thread-safe.
 */
public final class AccountQuota {

    /** The time over which demand is averaged: shares that follow it fast leave tokens behind at each turn. */
    private static final double DEMAND_TIME_MS = 10_000;

    /** The part of the tolerated excess that the nodes' own buckets make use of. */
    private static final double OWN_SLACK = 0.4;

    /** The part of the tolerated excess that borrowing makes use of. */
    private static final double BORROWED_SLACK = 0.4;

    /** Tokens that a node may borrow between two reports however small its share. */
    private static final double LEAST_BORROWED = 4;

    /** Borrowed tokens after which the node reports at once. */
    private static final double REPORTED_AT_ONCE = 2;

    /** The demand, as a part of the rate, that is shared out evenly whatever the nodes see. */
    private static final double EVEN_PART = 0.25;

    /**
     * Attempts of an account, as multiples of its rate, that are considered. Requests that are refused for another
     * reason give their token back, and without this bound an account that asks for many times its rate would take the
     * place of others in an overload.
     */
    private static final double CONSIDERED_ATTEMPTS = 1.5;

    private static final double MS_PER_S = 1_000;

    private double tokens;
    private double attempts;
    private double borrowable;
    private double borrowed;
    private double fleetTokens;
    private long filledAtMs;
    private double demandPerS;
    private long demandAtMs;
    private double reportedPerS;
    private long admitted;

    /**
     * Creates the part of a node that starts with empty buckets: what its predecessor held counts as spent.
     *
     * @param startedAtMs the start of the node in milliseconds
     */
    public AccountQuota(long startedAtMs) {
        this.filledAtMs = startedAtMs;
    }

    /**
     * Takes a token for a request.
     *
     * @param limit the limit of the account
     * @param share the node's share of it, from 0 to 1
     * @param nowMs the time in milliseconds
     * @return whether the request is within the rate
     */
    public boolean tryTake(Limit limit, double share, long nowMs) {
        demandPerS = getDemandPerS(nowMs) + MS_PER_S / DEMAND_TIME_MS;
        demandAtMs = nowMs;
        fill(limit, share, nowMs);
        if (tokens >= 1 && attempts >= 1) {
            tokens--;
            attempts--;
        } else if (borrowable >= 1 && toUnused(limit) >= 1) {
            borrowable--;
            borrowed++;
        } else {
            return false;
        }
        fleetTokens--;
        admitted++;
        return true;
    }

    /** Gives the token of a request back that did not run. */
    public void giveBack() {
        tokens++;
        fleetTokens++;
        admitted--;
    }

    /**
     * Notes what another node admitted.
     *
     * @param limit the limit of the account
     * @param share this node's share of it
     * @param count requests that the other node admitted and that were not noted before
     * @param nowMs the time in milliseconds
     */
    public void onOtherAdmitted(Limit limit, double share, long count, long nowMs) {
        fill(limit, share, nowMs);
        fleetTokens -= count;
    }

    /**
     * Notes that the node tells the others what it admitted, and sets anew what it may borrow until the next time.
     *
     * @param limit the limit of the account
     * @param share the node's share of it
     * @param isComplete whether all other nodes are heard of
     * @param nowMs the time in milliseconds
     */
    public void onReported(Limit limit, double share, boolean isComplete, long nowMs) {
        fill(limit, share, nowMs);
        borrowed = 0;
        reportedPerS = getDemandPerS(nowMs);
        double unused = Math.max(0, toUnused(limit));
        borrowable = isComplete ? Math.max(share * unused, Math.min(unused / 2, LEAST_BORROWED)) : 0;
    }

    /**
     * Tells whether the others should hear soon what this node admitted.
     *
     * @return whether it borrowed much since it last told
     */
    public boolean isReportDue() {
        return borrowed >= REPORTED_AT_ONCE;
    }

    /**
     * Estimates when a request that was refused would pass.
     *
     * @param limit the limit of the account
     * @param share the node's share of it
     * @param nowMs the time in milliseconds
     * @return milliseconds, longer the more callers ask beyond the rate
     */
    public long toRetryAfterMs(Limit limit, double share, long nowMs) {
        double ratePerS = Math.max(0.001, share * limit.ratePerS());
        double pressure = Math.max(1, getDemandPerS(nowMs) / ratePerS);
        return Math.round(MS_PER_S * pressure * Math.max(0.1, 1 - tokens) / ratePerS);
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
     * Gets the demand that the others know, on which all nodes base their shares.
     *
     * @return the demand at the last report, in requests a second
     */
    public double getReportedPerS() {
        return reportedPerS;
    }

    /**
     * Counts the requests that this node admitted.
     *
     * @return the number since its start
     */
    public long getAdmitted() {
        return admitted;
    }

    /**
     * Computes the share of a node from what it and the others ask for. The shares of all nodes that know the same
     * demand add up to one.
     *
     * @param ownPerS the demand of this node as it last reported it
     * @param totalPerS the demand of all nodes, this one included
     * @param nodes the number of nodes
     * @param ratePerS the rate of the account
     * @return a share from 0 to 1
     */
    public static double toShare(double ownPerS, double totalPerS, int nodes, double ratePerS) {
        double even = EVEN_PART * ratePerS;
        return (ownPerS + even / Math.max(1, nodes)) / Math.max(0.001, totalPerS + even);
    }

    /** Gets the attempts a second that are considered: more than the share if others leave much of the rate. */
    private double toAttemptsPerS(Limit limit, double share) {
        double lent = Math.max(0, toUnused(limit)) * share;
        return CONSIDERED_ATTEMPTS * share * limit.ratePerS() + lent;
    }

    private double toUnused(Limit limit) {
        return fleetTokens - Math.max(0, limit.burst() - BORROWED_SLACK * limit.slack());
    }

    private void fill(Limit limit, double share, long nowMs) {
        double depth = Math.max(1, share * (limit.burst() + OWN_SLACK * limit.slack()));
        double elapsedS = (nowMs - filledAtMs) / MS_PER_S;
        filledAtMs = nowMs;
        tokens = Math.max(tokens, Math.min(depth, tokens + share * limit.ratePerS() * elapsedS));
        attempts = Math.max(attempts, Math.min(depth, attempts + toAttemptsPerS(limit, share) * elapsedS));
        fleetTokens = Math.min(limit.burst(), fleetTokens + limit.ratePerS() * elapsedS);
    }

    /**
     * The limit of an account over the whole fleet.
     *
     * @param ratePerS requests a second
     * @param burst requests at once beyond the rate
     * @param slack requests that the fleet may exceed the limit by without harm
     */
    public record Limit(double ratePerS, double burst, double slack) {}
}
