package io.cranberryarch.decision.serving;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** A simulated fleet whose nodes share the limit of one client account and exchange periodic usage reports. */
final class QuotaFleet {

    private static final int STEP_MS = 10;
    private static final long DEFAULT_EARLY_REPORT_MS = 100;

    /** The initial time without requests, long enough to fill all buckets. */
    private static final long IDLE_MS = 20_000;

    private AccountQuota.Limit limit;
    private final long reportIntervalMs;
    private final long earlyReportMs;
    private final Random random;
    private final AccountQuota[] nodes;
    private final double[] weights;
    private final double[] reportedDemand;
    private final long[] reportedAdmitted;
    private final long[] reportedAtMs;
    private final List<Long> admittedAtMs = new ArrayList<>();
    private final boolean[] isPartitioned;
    private final boolean[][] isReconnecting;
    private long nowMs = 1_000;
    private long requested;
    private double centralTokens;
    private long centralRefused;

    QuotaFleet(AccountQuota.Limit limit, int count, long reportIntervalMs, long seed) {
        this(limit, count, reportIntervalMs, DEFAULT_EARLY_REPORT_MS, seed);
    }

    /** Creates nodes that report borrowed tokens after the given interval at the earliest. */
    QuotaFleet(AccountQuota.Limit limit, int count, long reportIntervalMs, long earlyReportMs, long seed) {
        this.earlyReportMs = earlyReportMs;
        this.limit = limit;
        this.reportIntervalMs = reportIntervalMs;
        this.random = new Random(seed);
        this.centralTokens = limit.burst();
        this.nodes = new AccountQuota[count];
        this.weights = new double[count];
        this.reportedDemand = new double[count];
        this.reportedAdmitted = new long[count];
        this.reportedAtMs = new long[count];
        this.isPartitioned = new boolean[count];
        this.isReconnecting = new boolean[count][count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            nodes[i] = new AccountQuota(nowMs);
            reportedAtMs[i] = nowMs - random.nextInt((int) reportIntervalMs);
            weights[i] = 0.3 + random.nextDouble();
            sum += weights[i];
        }
        for (int i = 0; i < count; i++) {
            weights[i] /= sum;
        }
        run(0, IDLE_MS);
    }

    /** Simulates requests at a rate for a duration. */
    void run(double requestsPerS, long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
            centralTokens = Math.min(limit.burst(), centralTokens + limit.ratePerS() * STEP_MS / 1_000);
            for (int i = 0; i < nodes.length; i++) {
                simulateArrivals(i, requestsPerS * weights[i] * STEP_MS / 1_000);
            }
            for (int i = 0; i < nodes.length; i++) {
                long sinceMs = nowMs - reportedAtMs[i];
                boolean isEarlyReport = nodes[i].isReportDue() && sinceMs >= earlyReportMs;
                if (isEarlyReport || sinceMs >= reportIntervalMs) {
                    report(i);
                }
            }
        }
    }

    /** Changes the limit at all nodes, and forgets the requests that were admitted before. */
    void setLimit(AccountQuota.Limit newLimit) {
        limit = newLimit;
        admittedAtMs.clear();
    }

    /** Kills a fraction of the nodes, which restart immediately with no state except the number of nodes. */
    void restart(double fraction) {
        for (int i = 0; i < fraction * nodes.length; i++) {
            nodes[i] = new AccountQuota(nowMs);
            reportedAdmitted[i] = 0;
            reportedDemand[i] = 0;
            reportedAtMs[i] = nowMs;
        }
    }

    /** Partitions a fraction of the nodes from the others. */
    void partition(double fraction) {
        for (int i = 0; i < fraction * nodes.length; i++) {
            isPartitioned[i] = true;
        }
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                if (isPartitioned[i] != isPartitioned[j]) {
                    nodes[i].removePeer("node-" + j);
                }
            }
        }
    }

    /** Ends the partition. */
    void heal() {
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                isReconnecting[i][j] = isPartitioned[i] != isPartitioned[j];
            }
        }
        Arrays.fill(isPartitioned, false);
    }

    long countRequests() {
        return requested;
    }

    long countRefused() {
        return requested - admittedAtMs.size();
    }

    double toRefusedRatio() {
        return 1 - (double) admittedAtMs.size() / requested;
    }

    /** Returns the ratio of requests that a single central bucket would have refused. */
    double toCentralRefusedRatio() {
        return (double) centralRefused / requested;
    }

    /** Returns the maximum number of requests admitted in any window of the given length. */
    int countMaxAdmitted(long windowMs) {
        int maxAdmitted = 0;
        int first = 0;
        for (int last = 0; last < admittedAtMs.size(); last++) {
            while (admittedAtMs.get(last) - admittedAtMs.get(first) >= windowMs) {
                first++;
            }
            maxAdmitted = Math.max(maxAdmitted, last - first + 1);
        }
        return maxAdmitted;
    }

    private void simulateArrivals(int node, double expected) {
        // Draws the arrivals of a Poisson process within one step.
        double product = random.nextDouble();
        while (product > Math.exp(-expected)) {
            requested++;
            if (centralTokens >= 1) {
                centralTokens--;
            } else {
                centralRefused++;
            }
            if (nodes[node].tryAcquire(limit, toShare(node), nowMs)) {
                admittedAtMs.add(nowMs);
            }
            product *= random.nextDouble();
        }
    }

    private double toShare(int node) {
        double own = nodes[node].getReportedDemandPerS();
        return AccountQuota.toShare(own, toConnectedDemand(node), countConnected(node), nodes.length, limit.ratePerS());
    }

    private double toConnectedDemand(int node) {
        double total = nodes[node].getReportedDemandPerS();
        for (int i = 0; i < nodes.length; i++) {
            boolean isConnected = isPartitioned[i] == isPartitioned[node];
            total += i == node || !isConnected ? 0 : reportedDemand[i];
        }
        return total;
    }

    private void report(int reporter) {
        boolean hasChange = nodes[reporter].hasUnreportedChange(nowMs);
        long newlyAdmitted = nodes[reporter].getAdmitted() - reportedAdmitted[reporter];
        reportedAdmitted[reporter] = nodes[reporter].getAdmitted();
        reportedAtMs[reporter] = nowMs;
        nodes[reporter].onReportSent(
                limit, toShare(reporter), toConnectedDemand(reporter), countConnected(reporter), nodes.length, nowMs);
        reportedDemand[reporter] = nodes[reporter].getReportedDemandPerS();
        if (!hasChange) {
            return;
        }
        for (int i = 0; i < nodes.length; i++) {
            if (i != reporter && isPartitioned[i] == isPartitioned[reporter]) {
                // Requests admitted during a partition were charged to the bucket of the other side.
                long counted = isReconnecting[reporter][i] ? 0 : newlyAdmitted;
                isReconnecting[reporter][i] = false;
                nodes[i].onPeerReport(
                        limit, toShare(i), "node-" + reporter, counted, nodes[reporter].getTokens(), nowMs);
            }
        }
    }

    private int countConnected(int node) {
        int connected = 0;
        for (boolean partitioned : isPartitioned) {
            connected += partitioned == isPartitioned[node] ? 1 : 0;
        }
        return connected;
    }
}
