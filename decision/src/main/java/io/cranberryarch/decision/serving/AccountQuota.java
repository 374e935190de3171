package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Enforces one node's share of the rate limit of a client account.
 *
 * <p>The node spends its share of the rate and the burst from a local token bucket; the shares of all nodes add up to
 * one. Since traffic is sparse and unevenly distributed, one node's bucket overflows while another's is empty. The node
 * therefore also models a bucket of the whole fleet, based on the admissions that all nodes report, and borrows the
 * tokens in it that exceed those held in the local buckets of the nodes. A request may be charged partly to each
 * bucket. Tokens that several nodes borrow concurrently, before their reports are exchanged, are covered by the
 * tolerated excess.
 *
 * <p>During a network partition, each group of connected nodes models a fleet bucket in proportion to its number of
 * nodes. The proportions of all groups add up to one, whatever information the groups have about each other. Not
 * thread-safe.
 */
public final class AccountQuota {

    /** The time constant of the demand average: shares that follow demand quickly strand tokens at each change. */
    private static final double DEMAND_AVERAGING_MS = 10_000;

    /** The ratio of the tolerated excess that is available for borrowing. */
    private static final double BORROWABLE_SLACK_RATIO = 0.6;

    /** The tokens that a node may borrow between two reports regardless of its share. */
    private static final double MIN_BORROWABLE_TOKENS = 4;

    /**
     * The ratio of demand to rate from which nodes borrow no more than their shares. Many nodes that each borrow a few
     * tokens between two reports would exceed the rate of an account whose demand is much higher.
     */
    private static final double HOT_DEMAND_RATIO = 2.5;

    /** The number of borrowed tokens that triggers an immediate report. */
    private static final double IMMEDIATE_REPORT_TOKENS = 1;

    /** The ratio of the rate that is added to demand as an evenly distributed part, whatever the nodes observe. */
    private static final double EVEN_DEMAND_RATIO = 0.25;

    /**
     * The maximum ratio of evaluated attempts to the rate of an account. Requests that are refused for another reason
     * refund their token, and without this bound an account with many times its rate in demand would displace other
     * accounts during an overload.
     */
    private static final double MAX_ATTEMPTS_RATIO = 1.5;

    /**
     * The minimum change of demand to report: a ratio of the last reported demand plus a number of requests per second.
     */
    private static final double MIN_REPORTED_CHANGE_RATIO = 0.2;

    private static final double MIN_REPORTED_CHANGE_PER_S = 0.1;

    private static final double MS_PER_S = 1_000;

    private final Map<String, PeerTokens> tokensByPeer = new HashMap<>();
    private Limit appliedLimit = new Limit(0, 0, 0);
    private double tokens;
    private double attemptTokens;
    private double borrowable;
    private double borrowed;
    private double fleetTokens;
    private double connectedRatio = 1;
    private double fleetTokensAtReport;
    private long reportedAtMs;
    private double peerTokenSum;
    private long peerReportTimeSumMs;
    private int connectedPeers;
    private long refilledAtMs;
    private double demandPerS;
    private long demandAtMs;
    private double reportedDemandPerS;
    private long admitted;
    private long reportedAdmitted;

    /**
     * Creates the quota of a node that starts with empty buckets: tokens held by its predecessor count as spent.
     *
     * @param startedAtMs the start time of the node in milliseconds
     */
    public AccountQuota(long startedAtMs) {
        this.refilledAtMs = startedAtMs;
        this.reportedAtMs = startedAtMs;
    }

    /**
     * Acquires a token for a request.
     *
     * @param limit the limit of the account
     * @param share the node's share of it, from 0 to 1
     * @param nowMs the time in milliseconds
     * @return whether the request is within the rate
     */
    public boolean tryAcquire(Limit limit, double share, long nowMs) {
        demandPerS = getDemandPerS(nowMs) + MS_PER_S / DEMAND_AVERAGING_MS;
        demandAtMs = nowMs;
        refill(limit, share, nowMs);
        double own = Math.max(0, Math.min(1, Math.min(tokens, attemptTokens)));
        double borrowing = 1 - own;
        if (borrowing > 0 && Math.min(borrowable, toUnusedTokens(limit, share, nowMs)) < borrowing) {
            return false;
        }
        tokens -= own;
        attemptTokens -= own;
        borrowable -= borrowing;
        borrowed += borrowing;
        fleetTokens--;
        admitted++;
        return true;
    }

    /** Refunds the token of a request that did not run. */
    public void refund() {
        tokens++;
        fleetTokens++;
        admitted--;
    }

    /**
     * Applies the report of another node.
     *
     * @param limit the limit of the account
     * @param share this node's share of it
     * @param node the name of the other node
     * @param newlyAdmitted the requests that it admitted since its previous report
     * @param heldTokens the tokens in its local bucket
     * @param nowMs the time in milliseconds
     */
    public void onPeerReport(
            Limit limit, double share, String node, long newlyAdmitted, double heldTokens, long nowMs) {
        refill(limit, share, nowMs);
        fleetTokens -= newlyAdmitted;
        removePeer(node);
        tokensByPeer.put(node, new PeerTokens(heldTokens, nowMs));
        peerTokenSum += heldTokens;
        peerReportTimeSumMs += nowMs;
    }

    /**
     * Removes the tokens recorded for another node that has stopped or is unreachable.
     *
     * @param node the name of the other node
     */
    public void removePeer(String node) {
        PeerTokens previous = tokensByPeer.remove(node);
        if (previous != null) {
            peerTokenSum -= previous.tokens();
            peerReportTimeSumMs -= previous.atMs();
        }
    }

    /**
     * Records that the node reports its admissions to the others, and resets the tokens it may borrow until the next
     * report.
     *
     * @param limit the limit of the account
     * @param share the node's share of it
     * @param connectedPerS the demand of the connected nodes, this one included
     * @param connected the number of nodes that are connected, this one included
     * @param nodes the number of all nodes
     * @param nowMs the time in milliseconds
     */
    public void onReportSent(Limit limit, double share, double connectedPerS, int connected, int nodes, long nowMs) {
        refill(limit, share, nowMs);
        connectedPeers = Math.max(0, connected - 1);
        setConnectedRatio(limit, Math.min(1, (double) connected / Math.max(1, nodes)), nowMs);
        borrowed = 0;
        if (hasUnreportedChange(nowMs)) {
            reportedDemandPerS = getDemandPerS(nowMs);
            reportedAdmitted = admitted;
        }
        double unused = Math.max(0, toUnusedTokens(limit, share, nowMs));
        boolean isHot = connectedPerS >= HOT_DEMAND_RATIO * connectedRatio * limit.ratePerS();
        borrowable = isHot ? share * unused : Math.max(share * unused, Math.min(unused / 2, MIN_BORROWABLE_TOKENS));
    }

    /**
     * Returns whether the usage at this node differs from its last report.
     *
     * @param nowMs the time in milliseconds
     * @return whether the next report should include the account
     */
    public boolean hasUnreportedChange(long nowMs) {
        double change = Math.abs(getDemandPerS(nowMs) - reportedDemandPerS);
        return admitted != reportedAdmitted
                || change > MIN_REPORTED_CHANGE_RATIO * reportedDemandPerS + MIN_REPORTED_CHANGE_PER_S;
    }

    /**
     * Returns whether this node should report its admissions soon.
     *
     * @return whether it has borrowed enough tokens since its last report
     */
    public boolean isReportDue() {
        return borrowed >= IMMEDIATE_REPORT_TOKENS;
    }

    /**
     * Estimates when a refused request would be admitted.
     *
     * @param limit the limit of the account
     * @param share the node's share of it
     * @param nowMs the time in milliseconds
     * @return the wait in milliseconds, longer the more demand exceeds the rate
     */
    public long toRetryAfterMs(Limit limit, double share, long nowMs) {
        double ratePerS = Math.max(0.001, share * limit.ratePerS());
        double pressure = Math.max(1, getDemandPerS(nowMs) / ratePerS);
        return Math.round(MS_PER_S * pressure * Math.max(0.1, 1 - tokens) / ratePerS);
    }

    /**
     * Returns the requests per second that arrive at this node, within the rate or not.
     *
     * @param nowMs the time in milliseconds
     * @return a moving average
     */
    public double getDemandPerS(long nowMs) {
        return demandPerS * Math.exp(-(nowMs - demandAtMs) / DEMAND_AVERAGING_MS);
    }

    /**
     * Returns the last reported demand, from which all nodes compute their shares.
     *
     * @return the demand at the last report, in requests per second
     */
    public double getReportedDemandPerS() {
        return reportedDemandPerS;
    }

    /**
     * Returns the number of requests that this node admitted.
     *
     * @return the number since its start
     */
    public long getAdmitted() {
        return admitted;
    }

    /**
     * Returns whether this node has received a request of the account.
     *
     * @return whether there is usage to report
     */
    public boolean isUsed() {
        return demandPerS > 0;
    }

    /**
     * Returns the tokens in the node's local bucket, for its reports.
     *
     * @return the tokens as of the last request or report
     */
    public double getTokens() {
        return tokens;
    }

    /**
     * Computes the share of a node from its demand and that of the others. The shares of connected nodes add up to
     * their proportion of all nodes, so that the shares of all groups of connected nodes add up to one.
     *
     * @param ownPerS the demand of this node as it last reported it
     * @param connectedPerS the demand of the connected nodes, this one included
     * @param connected the number of connected nodes, this one included
     * @param nodes the number of all nodes
     * @param ratePerS the rate of the account
     * @return a share from 0 to 1
     */
    public static double toShare(double ownPerS, double connectedPerS, int connected, int nodes, double ratePerS) {
        double even = EVEN_DEMAND_RATIO * ratePerS;
        double share = (ownPerS + even / Math.max(1, connected)) / Math.max(0.001, connectedPerS + even);
        return share * Math.min(1, (double) connected / Math.max(1, nodes));
    }

    /** Removes the proportion of the fleet bucket that belongs to nodes which are no longer connected. */
    private void setConnectedRatio(Limit limit, double ratio, long nowMs) {
        if (ratio < connectedRatio) {
            double sinceReportS = (nowMs - reportedAtMs) / MS_PER_S;
            double previous = Math.max(0, fleetTokensAtReport) / connectedRatio + limit.ratePerS() * sinceReportS;
            fleetTokens -= (connectedRatio - ratio) * previous;
        }
        connectedRatio = ratio;
        fleetTokens = Math.min(fleetTokens, ratio * limit.burst());
        fleetTokensAtReport = fleetTokens;
        reportedAtMs = nowMs;
    }

    /** Returns the attempts evaluated per second: more than the share if others leave much of the rate unused. */
    private double toAttemptsPerS(Limit limit, double share, long nowMs) {
        double borrowableRate = Math.max(0, toUnusedTokens(limit, share, nowMs)) * share;
        return MAX_ATTEMPTS_RATIO * share * limit.ratePerS() + borrowableRate;
    }

    /** Returns the tokens of the fleet bucket that no node holds in its local bucket. */
    private double toUnusedTokens(Limit limit, double share, long nowMs) {
        double shareElsewhere = Math.max(0, connectedRatio - share);
        double maxElsewhere = shareElsewhere * limit.burst();
        int unreportedPeers = Math.max(0, connectedPeers - tokensByPeer.size());
        double tokensElsewhere = peerTokenSum + maxElsewhere * unreportedPeers / Math.max(1, connectedPeers);
        // Each of the others has accrued tokens at its share of the rate since its report.
        double sinceReportsS =
                (tokensByPeer.size() * nowMs - peerReportTimeSumMs) / MS_PER_S / Math.max(1, connectedPeers);
        tokensElsewhere += shareElsewhere * limit.ratePerS() * sinceReportsS;
        double excess = connectedRatio * BORROWABLE_SLACK_RATIO * limit.slack();
        return fleetTokens - Math.min(maxElsewhere, Math.max(0, tokensElsewhere)) - tokens + excess;
    }

    private void refill(Limit limit, double share, long nowMs) {
        double depth = share * limit.burst();
        double attemptDepth = Math.max(1, MAX_ATTEMPTS_RATIO * depth);
        if (limit.burst() < appliedLimit.burst()) {
            // The buckets may exceed their depth after a change of the share, but not after a change of the limit.
            tokens = Math.min(tokens, depth);
            attemptTokens = Math.min(attemptTokens, attemptDepth);
            fleetTokens = Math.min(fleetTokens, connectedRatio * limit.burst());
            fleetTokensAtReport = Math.min(fleetTokensAtReport, fleetTokens);
        }
        appliedLimit = limit;
        double elapsedS = (nowMs - refilledAtMs) / MS_PER_S;
        refilledAtMs = nowMs;
        tokens = Math.max(tokens, Math.min(depth, tokens + share * limit.ratePerS() * elapsedS));
        double attemptRefill = toAttemptsPerS(limit, share, nowMs) * elapsedS;
        attemptTokens = Math.max(attemptTokens, Math.min(attemptDepth, attemptTokens + attemptRefill));
        double fleetRefill = connectedRatio * limit.ratePerS() * elapsedS;
        fleetTokens = Math.max(fleetTokens, Math.min(connectedRatio * limit.burst(), fleetTokens + fleetRefill));
    }

    /**
     * The tokens in the local bucket of another node.
     *
     * @param tokens the tokens
     * @param atMs the time of the report, in milliseconds
     */
    private record PeerTokens(double tokens, long atMs) {}

    /**
     * The limit of an account over the whole fleet.
     *
     * @param ratePerS the requests per second
     * @param burst the requests admitted at once beyond the rate
     * @param slack the tolerated excess: the requests by which the fleet may exceed the limit
     */
    public record Limit(double ratePerS, double burst, double slack) {}
}
