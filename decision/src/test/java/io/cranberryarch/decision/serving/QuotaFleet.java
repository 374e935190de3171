package io.cranberryarch.decision.serving;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Nodes that share the limit of one client account and tell each other about it at intervals. */
final class QuotaFleet {

    private static final int STEP_MS = 10;
    private static final long DEFAULT_SOON_MS = 100;

    /** How long the nodes have been running without requests at the begin, by which their buckets are full. */
    private static final long IDLE_MS = 20_000;

    private final AccountQuota.Limit limit;
    private final long statusIntervalMs;
    private final long soonMs;
    private final Random random;
    private final AccountQuota[] nodes;
    private final double[] weights;
    private final double[] toldDemand;
    private final long[] toldAdmitted;
    private final long[] toldAtMs;
    private final List<Long> admittedAtMs = new ArrayList<>();
    private final boolean[] isCutOff;
    private final boolean[][] isReconnecting;
    private long nowMs = 1_000;
    private long asked;
    private double centralTokens;
    private long centralRefused;

    QuotaFleet(AccountQuota.Limit limit, int count, long statusIntervalMs, long seed) {
        this(limit, count, statusIntervalMs, DEFAULT_SOON_MS, seed);
    }

    /** Creates nodes that tell after an interval what they have borrowed. */
    QuotaFleet(AccountQuota.Limit limit, int count, long statusIntervalMs, long soonMs, long seed) {
        this.soonMs = soonMs;
        this.limit = limit;
        this.statusIntervalMs = statusIntervalMs;
        this.random = new Random(seed);
        this.centralTokens = limit.burst();
        this.nodes = new AccountQuota[count];
        this.weights = new double[count];
        this.toldDemand = new double[count];
        this.toldAdmitted = new long[count];
        this.toldAtMs = new long[count];
        this.isCutOff = new boolean[count];
        this.isReconnecting = new boolean[count][count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            nodes[i] = new AccountQuota(nowMs);
            toldAtMs[i] = nowMs - random.nextInt((int) statusIntervalMs);
            weights[i] = 0.3 + random.nextDouble();
            sum += weights[i];
        }
        for (int i = 0; i < count; i++) {
            weights[i] /= sum;
        }
        run(0, IDLE_MS);
    }

    /** Lets callers ask at a rate for some time. */
    void run(double askedPerS, long forMs) {
        for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += STEP_MS) {
            centralTokens = Math.min(limit.burst(), centralTokens + limit.ratePerS() * STEP_MS / 1_000);
            for (int i = 0; i < nodes.length; i++) {
                ask(i, askedPerS * weights[i] * STEP_MS / 1_000);
            }
            for (int i = 0; i < nodes.length; i++) {
                long sinceMs = nowMs - toldAtMs[i];
                boolean isSoon = nodes[i].isReportDue() && sinceMs >= soonMs;
                if (isSoon || sinceMs >= statusIntervalMs) {
                    tell(i);
                }
            }
        }
    }

    /** Kills a part of the nodes, which start again at once and know nothing but the number of nodes. */
    void restart(double part) {
        for (int i = 0; i < part * nodes.length; i++) {
            nodes[i] = new AccountQuota(nowMs);
            toldAdmitted[i] = 0;
            toldDemand[i] = 0;
            toldAtMs[i] = nowMs;
        }
    }

    /** Cuts a part of the nodes off from the others. */
    void cut(double part) {
        for (int i = 0; i < part * nodes.length; i++) {
            isCutOff[i] = true;
        }
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                if (isCutOff[i] != isCutOff[j]) {
                    nodes[i].removePeer("node-" + j);
                }
            }
        }
    }

    /** Ends the cut. */
    void heal() {
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                isReconnecting[i][j] = isCutOff[i] != isCutOff[j];
            }
        }
        Arrays.fill(isCutOff, false);
    }

    long countAsked() {
        return asked;
    }

    long countRefused() {
        return asked - admittedAtMs.size();
    }

    double toRefusedShare() {
        return 1 - (double) admittedAtMs.size() / asked;
    }

    /** Gets what one bucket that sees all requests would have refused. */
    double toCentralRefusedShare() {
        return (double) centralRefused / asked;
    }

    /** Gets the most requests that were admitted in any window of a length. */
    int toBusiestWindow(long windowMs) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < admittedAtMs.size(); last++) {
            while (admittedAtMs.get(last) - admittedAtMs.get(first) >= windowMs) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private void ask(int node, double expected) {
        // Arrivals of a Poisson process within one step.
        double product = random.nextDouble();
        while (product > Math.exp(-expected)) {
            asked++;
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
            boolean isConnected = isCutOff[i] == isCutOff[node];
            total += i == node || !isConnected ? 0 : toldDemand[i];
        }
        return total;
    }

    private void tell(int teller) {
        boolean hasNews = nodes[teller].hasUnreportedChange(nowMs);
        long news = nodes[teller].getAdmitted() - toldAdmitted[teller];
        toldAdmitted[teller] = nodes[teller].getAdmitted();
        toldAtMs[teller] = nowMs;
        nodes[teller].onReportSent(
                limit, toShare(teller), toConnectedDemand(teller), countConnected(teller), nodes.length, nowMs);
        toldDemand[teller] = nodes[teller].getReportedDemandPerS();
        if (!hasNews) {
            return;
        }
        for (int i = 0; i < nodes.length; i++) {
            if (i != teller && isCutOff[i] == isCutOff[teller]) {
                // What was admitted behind a cut was counted there.
                long counted = isReconnecting[teller][i] ? 0 : news;
                isReconnecting[teller][i] = false;
                nodes[i].onPeerReport(limit, toShare(i), "node-" + teller, counted, nodes[teller].getTokens(), nowMs);
            }
        }
    }

    private int countConnected(int node) {
        int connected = 0;
        for (boolean cutOff : isCutOff) {
            connected += cutOff == isCutOff[node] ? 1 : 0;
        }
        return connected;
    }
}
