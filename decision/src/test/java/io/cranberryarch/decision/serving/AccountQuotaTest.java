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
    private static final long STATUS_INTERVAL_MS = 700;

    /** How often nodes of a large fleet tell each other of themselves, and how soon after they have borrowed. */
    private static final long LARGE_STATUS_INTERVAL_MS = 1_000;

    private static final long LARGE_SOON_MS = 350;

    /** The part of the requests that may be refused beyond what one bucket that sees all of them refuses. */
    private static final double ALLOWED_LOSS = 0.02;

    /** The part of the requests of an account at half of its rate that may be refused while the nodes are cut. */
    private static final double ALLOWED_CUT_LOSS = 0.1;

    private static AccountQuota.Limit toLimit(double ratePerS) {
        double slack = 0.1 * (ratePerS * WINDOW_MS / 1_000 + ratePerS) + 20;
        return new AccountQuota.Limit(ratePerS, ratePerS, slack);
    }

    @Property(tries = 60, seed = "11")
    void hotAccountStaysWithinItsLimitInEveryWindow(
            @ForAll @IntRange(min = 1, max = 40) int nodes,
            @ForAll @DoubleRange(min = 2, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 0, max = 8) double usualPart,
            @ForAll @DoubleRange(min = 0, max = 8) double hotPart,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(usualPart * ratePerS, 8_000);
        fleet.run(hotPart * ratePerS, 8_000);
        fleet.run(usualPart * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.toBusiestWindow(WINDOW_MS) <= allowed,
                fleet.toBusiestWindow(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 60, seed = "14")
    void hotAccountStaysWithinItsLimitWhenManyNodesAreKilledAtOnce(
            @ForAll @IntRange(min = 2, max = 40) int nodes,
            @ForAll @DoubleRange(min = 10, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 1, max = 8) double hotPart,
            @ForAll @DoubleRange(min = 0.1, max = 1) double killedPart,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(hotPart * ratePerS, 8_000);
        fleet.restart(killedPart);
        fleet.run(hotPart * ratePerS, 1_500);
        fleet.restart(killedPart);
        fleet.run(hotPart * ratePerS, 5_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.toBusiestWindow(WINDOW_MS) <= allowed,
                fleet.toBusiestWindow(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 60, seed = "15")
    void hotAccountStaysWithinItsLimitWhileTheNodesAreCutInTwo(
            @ForAll @IntRange(min = 2, max = 100) int nodes,
            @ForAll @DoubleRange(min = 10, max = 400) double ratePerS,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double cutPart,
            @ForAll @DoubleRange(min = 0.2, max = 0.7) double usualPart,
            @ForAll @DoubleRange(min = 0, max = 8) double hotPart,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(usualPart * ratePerS, 8_000);
        fleet.cut(cutPart);
        fleet.run(hotPart * ratePerS, 6_000);
        fleet.heal();
        fleet.run(hotPart * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.toBusiestWindow(WINDOW_MS) <= allowed,
                fleet.toBusiestWindow(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    /** Many nodes, each of which sees few of the account's requests and tells the others with a delay. */
    @Property(tries = 60, seed = "17")
    void hotAccountStaysWithinItsLimitInALargeFleet(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.2, max = 1.2) double usualPart,
            @ForAll @DoubleRange(min = 1, max = 8) double hotPart,
            @ForAll @DoubleRange(min = 0, max = 1) double killedPart,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, LARGE_STATUS_INTERVAL_MS, LARGE_SOON_MS, seed);
        fleet.run(usualPart * ratePerS, 8_000);
        fleet.run(hotPart * ratePerS, 8_000);
        fleet.restart(killedPart);
        fleet.run(hotPart * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.toBusiestWindow(WINDOW_MS) <= allowed,
                fleet.toBusiestWindow(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    /** All nodes of a large fleet are killed at once while an account asks for many times its rate. */
    @Property(tries = 60, seed = "19")
    void hotAccountStaysWithinItsLimitWhenALargeFleetIsKilled(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.2, max = 1.2) double usualPart,
            @ForAll @DoubleRange(min = 2, max = 8) double hotPart,
            @ForAll long seed) {
        AccountQuota.Limit limit = toLimit(ratePerS);
        QuotaFleet fleet = new QuotaFleet(limit, nodes, LARGE_STATUS_INTERVAL_MS, LARGE_SOON_MS, seed);
        fleet.run(usualPart * ratePerS, 8_000);
        fleet.run(hotPart * ratePerS, 8_000);
        fleet.restart(1);
        fleet.run(hotPart * ratePerS, 4_000);
        double allowed = ratePerS * WINDOW_MS / 1_000 + limit.burst() + limit.slack();
        assertTrue(
                fleet.toBusiestWindow(WINDOW_MS) <= allowed,
                fleet.toBusiestWindow(WINDOW_MS) + " admitted, " + allowed + " allowed");
    }

    @Property(tries = 30, seed = "18")
    void callersWithinTheRateAreServedInALargeFleet(
            @ForAll @IntRange(min = 60, max = 120) int nodes,
            @ForAll @DoubleRange(min = 10, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double usualPart,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, LARGE_STATUS_INTERVAL_MS, LARGE_SOON_MS, seed);
        fleet.run(usualPart * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedShare() + ALLOWED_LOSS;
        assertTrue(fleet.toRefusedShare() <= allowed, fleet.toRefusedShare() + " refused, " + allowed + " allowed");
    }

    /** An availability zone is cut off, or a node has just been killed, in a fleet with many nodes and accounts. */
    @Property(tries = 30, seed = "16")
    void callersWithinTheRateAreServedOnBothSidesOfACut(
            @ForAll @IntRange(min = 60, max = 100) int nodes,
            @ForAll @DoubleRange(min = 40, max = 200) double ratePerS,
            @ForAll @DoubleRange(min = 0.01, max = 0.3) double cutPart,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(0.5 * ratePerS, 10_000);
        long before = fleet.countRefused();
        long askedBefore = fleet.countAsked();
        fleet.cut(cutPart);
        fleet.run(0.5 * ratePerS, 20_000);
        double refused = (double) (fleet.countRefused() - before) / (fleet.countAsked() - askedBefore);
        assertTrue(refused <= ALLOWED_CUT_LOSS, refused + " refused");
    }

    @Property(tries = 30, seed = "12")
    void unevenCallersOfManyNodesAreServedWithinTheRate(
            @ForAll @IntRange(min = 10, max = 30) int nodes,
            @ForAll @DoubleRange(min = 10, max = 300) double ratePerS,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(0.9 * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedShare() + ALLOWED_LOSS;
        assertTrue(fleet.toRefusedShare() <= allowed, fleet.toRefusedShare() + " refused, " + allowed + " allowed");
    }

    @Property(tries = 30, seed = "13")
    void littleOfTheRateLiesIdleWhenCallersAskForABitMore(
            @ForAll @IntRange(min = 10, max = 30) int nodes,
            @ForAll @DoubleRange(min = 10, max = 300) double ratePerS,
            @ForAll long seed) {
        QuotaFleet fleet = new QuotaFleet(toLimit(ratePerS), nodes, STATUS_INTERVAL_MS, seed);
        fleet.run(1.1 * ratePerS, 30_000);
        double allowed = fleet.toCentralRefusedShare() + ALLOWED_LOSS;
        assertTrue(fleet.toRefusedShare() <= allowed, fleet.toRefusedShare() + " refused, " + allowed + " allowed");
    }

    @Test
    void accountThatAsksForManyTimesItsRateIsNotConsideredEachTime() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(100, 100, 80);
        int considered = 0;
        for (long nowMs = 0; nowMs < 10_000; nowMs++) {
            if (quota.tryAcquire(limit, 1, nowMs)) {
                considered++;
                // Every request is refused for another reason, as in an overload.
                quota.refund();
            }
        }
        assertTrue(considered <= 2_000, considered + " of 10,000 requests considered, 1,000 within the rate");
    }

    @Test
    void tokenOfARequestThatDidNotRunIsGivenBack() {
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
    void refusedCallerIsToldToComeBackWhenATokenIsThereAndLaterTheMoreAreRefused() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(4, 4, 0);
        for (int i = 0; i < 4; i++) {
            assertTrue(quota.tryAcquire(limit, 1, 1_000));
        }
        assertFalse(quota.tryAcquire(limit, 1, 1_000));
        // A quarter of a second for one token.
        assertEquals(250, quota.toRetryAfterMs(limit, 1, 1_000));
        assertEquals(500, quota.toRetryAfterMs(limit, 0.5, 1_000));
        for (int i = 0; i < 200; i++) {
            quota.tryAcquire(limit, 1, 1_000);
        }
        assertTrue(quota.toRetryAfterMs(limit, 1, 1_000) > 1_000);
    }

    @Test
    void demandFollowsWhatCallersAskForAndFades() {
        AccountQuota quota = new AccountQuota(0);
        AccountQuota.Limit limit = new AccountQuota.Limit(1, 1, 0);
        for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
            quota.tryAcquire(limit, 1, nowMs);
        }
        // Refused requests count too.
        assertEquals(20, quota.getDemandPerS(60_000), 1);
        assertEquals(20 / Math.E, quota.getDemandPerS(70_000), 1);
    }

    @Test
    void nodeReportsAtOnceWhenItBorrowedAndNotWhenItSpentItsOwn() {
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
    void nodeThatDoesNotReachAllOthersSpendsOnlyItsShare() {
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
    void whatAnotherNodeHoldsIsNotBorrowed() {
        AccountQuota.Limit limit = new AccountQuota.Limit(10, 10, 0);
        assertEquals(5, countTaken(limit, 5));
        assertEquals(7, countTaken(limit, 1));
    }

    /** Counts what a node with half of an account takes at once if the other one holds some tokens. */
    private static int countTaken(AccountQuota.Limit limit, double heldByOther) {
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
    void sharesAddUpToOneAndIdleNodesKeepAPart() {
        double busy = AccountQuota.toShare(30, 40, 3, 3, 100);
        double calm = AccountQuota.toShare(10, 40, 3, 3, 100);
        double idle = AccountQuota.toShare(0, 40, 3, 3, 100);
        assertEquals(1, busy + calm + idle, 1e-9);
        assertTrue(idle > 0.05 && calm > idle && busy > calm, idle + " " + calm + " " + busy);
        double cutOff = AccountQuota.toShare(500, 500, 1, 3, 100);
        double others = AccountQuota.toShare(10, 10, 2, 3, 100) + AccountQuota.toShare(0, 10, 2, 3, 100);
        assertEquals(1, cutOff + others, 1e-9, "of the sides of a cut, whatever is asked for there");
    }
}
