package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AccountQuotaTest {

    private static final long WINDOW_MS = 5_000;
    private static final long REPORT_INTERVAL_MS = 700;

    /** The report interval of nodes in a large fleet, and below it the earliest report after borrowing. */
    private static final long LARGE_REPORT_INTERVAL_MS = 1_000;

    private static final long LARGE_EARLY_REPORT_MS = 350;

    /** The maximum ratio of requests refused in addition to those that a single central bucket refuses. */
    private static final double MAX_ADDED_REFUSAL_RATIO = 0.02;

    /** The maximum ratio of refused requests of an account at half of its rate during a partition. */
    private static final double MAX_PARTITION_REFUSAL_RATIO = 0.1;

    private static AccountQuota.Limit toLimit(double ratePerS) {
        double slack = 0.1 * (ratePerS * WINDOW_MS / 1_000 + ratePerS) + 20;
        return new AccountQuota.Limit(ratePerS, ratePerS, slack);
    }

    @Property(tries = 60, seed = "11")
    void hotAccountStaysWithinItsLimitInEveryWindow(
            @ForAll @IntRange(min = 1, max = 40) int nodes,
            @ForAll @DoubleRange(min = 2, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 0, max = 8) double usualRatio,
            @ForAll @DoubleRange(min = 0, max = 8) double hotRatio,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(usualRatio * ratePerS, 8_000);
        fleet.run(hotRatio * ratePerS, 8_000);
        fleet.run(usualRatio * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 60, seed = "14")
    void hotAccountStaysWithinItsLimitWhenManyNodesAreKilledAtOnce(
            @ForAll @IntRange(min = 2, max = 40) int nodes,
            @ForAll @DoubleRange(min = 10, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 1, max = 8) double hotRatio,
            @ForAll @DoubleRange(min = 0.1, max = 1) double killedRatio,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(hotRatio * ratePerS, 8_000);
        fleet.restart(killedRatio);
        fleet.run(hotRatio * ratePerS, 1_500);
        fleet.restart(killedRatio);
        fleet.run(hotRatio * ratePerS, 5_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 60, seed = "15")
    void hotAccountStaysWithinItsLimitDuringAPartition(
            @ForAll @IntRange(min = 2, max = 100) int nodes,
            @ForAll @DoubleRange(min = 10, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double partitionRatio,
            @ForAll @DoubleRange(min = 0.2, max = 0.7) double usualRatio,
            @ForAll @DoubleRange(min = 0, max = 8) double hotRatio,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(usualRatio * ratePerS, 8_000);
        fleet.partition(partitionRatio);
        fleet.run(hotRatio * ratePerS, 6_000);
        fleet.heal();
        fleet.run(hotRatio * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    /** Guards against a lowered burst or rate that is not in force, as the buckets still hold the tokens of before. */
    @Property(tries = 60, seed = "18")
    void loweredLimitIsInForceAtOnce(
            @ForAll @IntRange(min = 1, max = 40) int nodes,
            @ForAll @DoubleRange(min = 10, max = 100) double ratePerS,
            @ForAll @DoubleRange(min = 1, max = 20) double formerBurstRatio,
            @ForAll @DoubleRange(min = 1, max = 8) double formerRateRatio,
            @ForAll @DoubleRange(min = 0, max = 1) double usualRatio,
            @ForAll @DoubleRange(min = 1, max = 8) double hotRatio,
            @ForAll long seed) {
        AccountQuota.Limit lowered = toLimit(ratePerS);
        AccountQuota.Limit former = new AccountQuota.Limit(
                formerRateRatio * ratePerS, formerBurstRatio * formerRateRatio * ratePerS, lowered.slack());
        QuotaFleet fleet = new QuotaFleet(former, nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(usualRatio * ratePerS, 8_000);
        fleet.setLimit(lowered);
        fleet.run(hotRatio * ratePerS, 8_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + lowered.burst() + lowered.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    /** Tests many nodes, each of which receives few requests of the account and reports them with a delay. */
    @Property(tries = 60, seed = "17")
    void hotAccountStaysWithinItsLimitInALargeFleet(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.2, max = 1.2) double usualRatio,
            @ForAll @DoubleRange(min = 1, max = 8) double hotRatio,
            @ForAll @DoubleRange(min = 0, max = 1) double killedRatio,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, LARGE_REPORT_INTERVAL_MS, LARGE_EARLY_REPORT_MS, seed);
        fleet.run(usualRatio * ratePerS, 8_000);
        fleet.run(hotRatio * ratePerS, 8_000);
        fleet.restart(killedRatio);
        fleet.run(hotRatio * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    /** Tests the restart of all nodes of a large fleet at once while the demand of an account far exceeds its rate. */
    @Property(tries = 60, seed = "19")
    void hotAccountStaysWithinItsLimitWhenALargeFleetIsRestarted(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.2, max = 1.2) double usualRatio,
            @ForAll @DoubleRange(min = 2, max = 8) double hotRatio,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, LARGE_REPORT_INTERVAL_MS, LARGE_EARLY_REPORT_MS, seed);
        fleet.run(usualRatio * ratePerS, 8_000);
        fleet.run(hotRatio * ratePerS, 8_000);
        fleet.restart(1);
        fleet.run(hotRatio * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.countMaxAdmitted(WINDOW_MS) <= allowed,
                fleet.countMaxAdmitted(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 30, seed = "18")
    void callersWithinTheRateAreServedInALargeFleet(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double usualRatio,
            @ForAll long seed) {
        QuotaFleet fleet =
                new QuotaFleet(toLimit(ratePerS), nodes, LARGE_REPORT_INTERVAL_MS, LARGE_EARLY_REPORT_MS, seed);
        fleet.run(usualRatio * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedRatio() + MAX_ADDED_REFUSAL_RATIO;
        assertTrue(fleet.toRefusedRatio() <= allowed, fleet.toRefusedRatio() + " refused, " + allowed + " allowed");
    }

    /** Tests the partition of an availability zone, or the loss of a node, in a fleet of many nodes and accounts. */
    @Property(tries = 30, seed = "16")
    void callersWithinTheRateAreServedOnBothSidesOfAPartition(
            @ForAll @IntRange(min = 60, max = 100) int nodes,
            @ForAll @DoubleRange(min = 40, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.01, max = 0.3) double partitionRatio,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(0.5 * ratePerS, 10_000);
        long refusedBefore = fleet.countRefused();
        long requestsBefore = fleet.countRequests();
        fleet.partition(partitionRatio);
        fleet.run(0.5 * ratePerS, 20_000);
        double refused = (double) (fleet.countRefused() - refusedBefore) / (fleet.countRequests() - requestsBefore);
        assertTrue(refused <= MAX_PARTITION_REFUSAL_RATIO, refused + " refused");
    }

    @Property(tries = 30, seed = "12")
    void unevenTrafficWithinTheRateIsServed(
            @ForAll @IntRange(min = 10, max = 30) int nodes,
            @ForAll @DoubleRange(min = 10, max = 300) double ratePerS,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(0.9 * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedRatio() + MAX_ADDED_REFUSAL_RATIO;
        assertTrue(fleet.toRefusedRatio() <= allowed, fleet.toRefusedRatio() + " refused, " + allowed + " allowed");
    }

    @Property(tries = 30, seed = "13")
    void rateIsAlmostFullyUsedWhenDemandSlightlyExceedsIt(
            @ForAll @IntRange(min = 10, max = 30) int nodes,
            @ForAll @DoubleRange(min = 10, max = 300) double ratePerS,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, REPORT_INTERVAL_MS, seed);
        fleet.run(1.1 * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedRatio() + MAX_ADDED_REFUSAL_RATIO;
        assertTrue(fleet.toRefusedRatio() <= allowed, fleet.toRefusedRatio() + " refused, " + allowed + " allowed");
    }

    @Test
    void evaluatedAttemptsAreBoundedForAnAccountFarAboveItsRate() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(100, 100, 80);
        int evaluated = 0;
        for (long nowMs = 0; nowMs < 10_000; nowMs++) {
            if (quota.tryAcquire(limit, 1, nowMs)) {
                evaluated++;
                // Each request is refused for another reason, as during an overload.
                quota.refund();
            }
        }
        assertTrue(evaluated <= 2_000, evaluated + " of 10,000 requests evaluated, 1,000 within the rate");
    }

    @Test
    void tokenOfARequestThatDidNotRunIsRefunded() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(1, 1, 0);
        assertTrue(quota.tryAcquire(limit, 1, 1_000));
        assertFalse(quota.tryAcquire(limit, 1, 1_000));
        quota.refund();
        assertEquals(0, quota.getAdmitted());
        assertTrue(quota.tryAcquire(limit, 1, 1_500));
        assertFalse(quota.tryAcquire(limit, 1, 1_500));
        assertEquals(1, quota.getAdmitted());
    }

    @Test
    void retryAfterIsTheTimeToTheNextTokenAndGrowsWithRefusals() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(4, 4, 0);
        for (int i = 0; i < 4; i++) {
            assertTrue(quota.tryAcquire(limit, 1, 1_000));
        }
        assertFalse(quota.tryAcquire(limit, 1, 1_000));
        // One token is refilled in a quarter of a second.
        assertEquals(250, quota.toRetryAfterMs(limit, 1, 1_000));
        assertEquals(500, quota.toRetryAfterMs(limit, 0.5, 1_000));
        for (int i = 0; i < 200; i++) {
            quota.tryAcquire(limit, 1, 1_000);
        }
        assertTrue(quota.toRetryAfterMs(limit, 1, 1_000) > 1_000);
    }

    @Test
    void demandFollowsTheRequestRateAndDecays() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(1, 1, 0);
        for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
            quota.tryAcquire(limit, 1, nowMs);
        }
        // Refused requests count towards demand.
        assertEquals(20, quota.getDemandPerS(60_000), 1);
        assertEquals(20 / Math.E, quota.getDemandPerS(70_000), 1);
    }

    @Test
    void nodeReportsImmediatelyAfterBorrowingButNotAfterSpendingItsOwnTokens() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(10, 10, 30);
        quota.onReportSent(limit, 0.5, 0, 2, 2, 10_000);
        for (int i = 0; i < 5; i++) {
            assertTrue(quota.tryAcquire(limit, 0.5, 10_000));
        }
        assertFalse(quota.isReportDue());
        assertTrue(quota.tryAcquire(limit, 0.5, 10_000));
        assertTrue(quota.isReportDue());
        quota.onReportSent(limit, 0.5, 0, 2, 2, 10_000);
        assertFalse(quota.isReportDue());
    }

    @Test
    void disconnectedNodeSpendsOnlyItsShare() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(10, 10, 0);
        quota.onReportSent(limit, 0.5, 0, 1, 2, 10_000);
        int admitted = 0;
        while (quota.tryAcquire(limit, 0.5, 10_000)) {
            admitted++;
        }
        assertEquals(5, admitted);
    }

    @Test
    void tokensHeldByAnotherNodeAreNotBorrowed() {
        AccountQuota.Limit limit = new AccountQuota.Limit(10, 10, 0);
        assertEquals(5, countAcquired(limit, 5));
        assertEquals(7, countAcquired(limit, 1));
    }

    /** Counts the tokens that a node with half of the rate acquires at once if the other node holds some. */
    private static int countAcquired(AccountQuota.Limit limit, double heldByOther) {
        AccountQuota quota = new AccountQuota(0);
        quota.onPeerReport(limit, 0.5, "other", 0, heldByOther, 10_000);
        quota.onReportSent(limit, 0.5, 0, 2, 2, 10_000);
        int admitted = 0;
        while (quota.tryAcquire(limit, 0.5, 10_000)) {
            admitted++;
        }
        return admitted;
    }

    @Test
    void sharesAddUpToOneAndIdleNodesKeepAShare() {
        double busy = AccountQuota.toShare(30, 40, 3, 3, 100);
        double moderate = AccountQuota.toShare(10, 40, 3, 3, 100);
        double idle = AccountQuota.toShare(0, 40, 3, 3, 100);
        assertEquals(1, busy + moderate + idle, 1e-9);
        assertTrue(idle > 0.05 && moderate > idle && busy > moderate, idle + " " + moderate + " " + busy);
        double partitioned = AccountQuota.toShare(500, 500, 1, 3, 100);
        double others = AccountQuota.toShare(10, 10, 2, 3, 100) + AccountQuota.toShare(0, 10, 2, 3, 100);
        assertEquals(1, partitioned + others, 1e-9, "shares of both sides of a partition, regardless of their demand");
    }
}
