package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * One node's part of the rate of a client account.
 *
 * <p>The node spends its share of the rate and the burst from a token bucket of its own; the shares of all nodes add up
 * to one. Since callers are few and come unevenly, one node's bucket overflows while another's is empty. The node
 * therefore also follows a bucket of the whole fleet, from what all nodes say they admitted, and borrows what is in it
 * beyond the tokens that the nodes hold in their own buckets. A request may be paid in part from each. What is borrowed
 * at several nodes at once, before they have told each other, is covered by the tolerated excess.
 *
 * <p>Nodes that do not reach each other count with buckets of their own: each group of connected nodes follows one for
 * its part of all nodes. The parts of all groups add up to one, whatever the groups know of each other. Not
 * thread-safe.
 */
public final class AccountQuota {

    /** The time over which demand is averaged: shares that follow it fast leave tokens behind at each turn. */
    private static final double DEMAND_TIME_MS = 10_000;

    /** The part of the tolerated excess that borrowing makes use of. */
    private static final double BORROWED_SLACK = 0.6;

    /** Tokens that a node may borrow between two reports however small its share. */
    private static final double LEAST_BORROWED = 4;

    /**
     * The demand, as a part of the rate, from which nodes borrow only their shares. Many nodes that borrow a few tokens
     * each between two reports would exceed the rate of an account that asks for much more.
     */
    private static final double HOT_PART = 2.5;

    /** Borrowed tokens after which the node reports at once. */
    private static final double REPORTED_AT_ONCE = 1;

    /** The demand, as a part of the rate, that is shared out evenly whatever the nodes see. */
    private static final double EVEN_PART = 0.25;

    /**
     * Attempts of an account, as multiples of its rate, that are considered. Requests that are refused for another
     * reason give their token back, and without this bound an account that asks for many times its rate would take the
     * place of others in an overload.
     */
    private static final double CONSIDERED_ATTEMPTS = 1.5;

    /** The change of demand that is worth telling the others, as a part of what they know and in requests a second. */
    private static final double TOLD_CHANGE_PART = 0.2;

    private static final double TOLD_CHANGE_PER_S = 0.1;

    private static final double MS_PER_S = 1_000;

    private final Map<String, Held> heldByOthers = new HashMap<>();
    private double tokens;
    private double attempts;
    private double borrowable;
    private double borrowed;
    private double fleetTokens;
    private double connectedPart = 1;
    private double tokensAtReport;
    private long reportedAtMs;
    private double heldSum;
    private long heldAtSumMs;
    private int otherNodes;
    private long filledAtMs;
    private double demandPerS;
    private long demandAtMs;
    private double reportedPerS;
    private long admitted;
    private long reportedAdmitted;

    /**
     * Creates the part of a node that starts with empty buckets: what its predecessor held counts as spent.
     *
     * @param startedAtMs the start of the node in milliseconds
     */
    public AccountQuota(long startedAtMs) {
        this.filledAtMs = startedAtMs;
        this.reportedAtMs = startedAtMs;
    }

    /**
     * Takes a token for a request.
     *
     * @param limit the limit of the account
     * @param share the node's share of it, from 0 to 1
     * @param nowMs the time in milliseconds
     * @return whether the request is within the rate
     */
    public boolean tryAcquire(Limit limit, double share, long nowMs) {
        demandPerS = getDemandPerS(nowMs) + MS_PER_S / DEMAND_TIME_MS;
        demandAtMs = nowMs;
        fill(limit, share, nowMs);
        double own = Math.max(0, Math.min(1, Math.min(tokens, attempts)));
        double missing = 1 - own;
        if (missing > 0 && Math.min(borrowable, toUnused(limit, share, nowMs)) < missing) {
            return false;
        }
        tokens -= own;
        attempts -= own;
        borrowable -= missing;
        borrowed += missing;
        fleetTokens--;
        admitted++;
        return true;
    }

    /** Gives the token of a request back that did not run. */
    public void refund() {
        tokens++;
        fleetTokens++;
        admitted--;
    }

    /**
     * Notes what another node said of itself.
     *
     * @param limit the limit of the account
     * @param share this node's share of it
     * @param node the name of the other node
     * @param count requests that it admitted and that were not noted before
     * @param held tokens in its own bucket
     * @param nowMs the time in milliseconds
     */
    public void onPeerReport(Limit limit, double share, String node, long count, double held, long nowMs) {
        fill(limit, share, nowMs);
        fleetTokens -= count;
        removePeer(node);
        heldByOthers.put(node, new Held(held, nowMs));
        heldSum += held;
        heldAtSumMs += nowMs;
    }

    /**
     * Forgets what another node holds, since it has ended or cannot be reached.
     *
     * @param node the name of the other node
     */
    public void removePeer(String node) {
        Held before = heldByOthers.remove(node);
        if (before != null) {
            heldSum -= before.tokens();
            heldAtSumMs -= before.atMs();
        }
    }

    /**
     * Notes that the node tells the others what it admitted, and sets anew what it may borrow until the next time.
     *
     * @param limit the limit of the account
     * @param share the node's share of it
     * @param connectedPerS the demand of the connected nodes, this one included
     * @param connected the number of nodes that are connected, this one included
     * @param nodes the number of all nodes
     * @param nowMs the time in milliseconds
     */
    public void onReportSent(Limit limit, double share, double connectedPerS, int connected, int nodes, long nowMs) {
        fill(limit, share, nowMs);
        otherNodes = Math.max(0, connected - 1);
        setConnectedPart(limit, Math.min(1, (double) connected / Math.max(1, nodes)), nowMs);
        borrowed = 0;
        if (hasUnreportedChange(nowMs)) {
            reportedPerS = getDemandPerS(nowMs);
            reportedAdmitted = admitted;
        }
        double unused = Math.max(0, toUnused(limit, share, nowMs));
        boolean isHot = connectedPerS >= HOT_PART * connectedPart * limit.ratePerS();
        borrowable = isHot ? share * unused : Math.max(share * unused, Math.min(unused / 2, LEAST_BORROWED));
    }

    /**
     * Tells whether the others know something else than this node of what its callers use.
     *
     * @param nowMs the time in milliseconds
     * @return whether the next report should name the account
     */
    public boolean hasUnreportedChange(long nowMs) {
        double change = Math.abs(getDemandPerS(nowMs) - reportedPerS);
        return admitted != reportedAdmitted || change > TOLD_CHANGE_PART * reportedPerS + TOLD_CHANGE_PER_S;
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
    public double getReportedDemandPerS() {
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
     * Tells whether a request of the account ever came to this node.
     *
     * @return whether there is anything to tell the others
     */
    public boolean isUsed() {
        return demandPerS > 0;
    }

    /**
     * Gets the tokens in the node's own bucket, to tell the others.
     *
     * @return the tokens as of the last request or report
     */
    public double getTokens() {
        return tokens;
    }

    /**
     * Computes the share of a node from what it and the others ask for. The shares of connected nodes add up to their
     * part of all nodes, so that the shares of all groups of connected nodes add up to one.
     *
     * @param ownPerS the demand of this node as it last reported it
     * @param connectedPerS the demand of the connected nodes, this one included
     * @param connected the number of connected nodes, this one included
     * @param nodes the number of all nodes
     * @param ratePerS the rate of the account
     * @return a share from 0 to 1
     */
    public static double toShare(double ownPerS, double connectedPerS, int connected, int nodes, double ratePerS) {
        double even = EVEN_PART * ratePerS;
        double share = (ownPerS + even / Math.max(1, connected)) / Math.max(0.001, connectedPerS + even);
        return share * Math.min(1, (double) connected / Math.max(1, nodes));
    }

    /** Leaves the part of the fleet's bucket behind that belongs to nodes which are not connected any more. */
    private void setConnectedPart(Limit limit, double part, long nowMs) {
        if (part < connectedPart) {
            double sinceReportS = (nowMs - reportedAtMs) / MS_PER_S;
            double before = Math.max(0, tokensAtReport) / connectedPart + limit.ratePerS() * sinceReportS;
            fleetTokens -= (connectedPart - part) * before;
        }
        connectedPart = part;
        fleetTokens = Math.min(fleetTokens, part * limit.burst());
        tokensAtReport = fleetTokens;
        reportedAtMs = nowMs;
    }

    /** Gets the attempts a second that are considered: more than the share if others leave much of the rate. */
    private double toAttemptsPerS(Limit limit, double share, long nowMs) {
        double lent = Math.max(0, toUnused(limit, share, nowMs)) * share;
        return CONSIDERED_ATTEMPTS * share * limit.ratePerS() + lent;
    }

    /** Gets the tokens of the fleet's bucket that no node holds in its own. */
    private double toUnused(Limit limit, double share, long nowMs) {
        double partElsewhere = Math.max(0, connectedPart - share);
        double mostElsewhere = partElsewhere * limit.burst();
        int silent = Math.max(0, otherNodes - heldByOthers.size());
        double heldElsewhere = heldSum + mostElsewhere * silent / Math.max(1, otherNodes);
        // Since its report, each of the others has taken in its part of the rate.
        double sinceReportsS = (heldByOthers.size() * nowMs - heldAtSumMs) / MS_PER_S / Math.max(1, otherNodes);
        heldElsewhere += partElsewhere * limit.ratePerS() * sinceReportsS;
        double excess = connectedPart * BORROWED_SLACK * limit.slack();
        return fleetTokens - Math.min(mostElsewhere, Math.max(0, heldElsewhere)) - tokens + excess;
    }

    private void fill(Limit limit, double share, long nowMs) {
        double depth = share * limit.burst();
        double attemptsDepth = Math.max(1, CONSIDERED_ATTEMPTS * depth);
        double elapsedS = (nowMs - filledAtMs) / MS_PER_S;
        filledAtMs = nowMs;
        tokens = Math.max(tokens, Math.min(depth, tokens + share * limit.ratePerS() * elapsedS));
        double taken = toAttemptsPerS(limit, share, nowMs) * elapsedS;
        attempts = Math.max(attempts, Math.min(attemptsDepth, attempts + taken));
        double fleetFill = connectedPart * limit.ratePerS() * elapsedS;
        fleetTokens = Math.max(fleetTokens, Math.min(connectedPart * limit.burst(), fleetTokens + fleetFill));
    }

    /**
     * Tokens in the bucket of another node.
     *
     * @param tokens the tokens
     * @param atMs when the node said so, in milliseconds
     */
    private record Held(double tokens, long atMs) {}

    /**
     * The limit of an account over the whole fleet.
     *
     * @param ratePerS requests a second
     * @param burst requests at once beyond the rate
     * @param slack requests that the fleet may exceed the limit by without harm
     */
    public record Limit(double ratePerS, double burst, double slack) {}
}
