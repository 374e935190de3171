package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.net.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamStateTest {

    private final EventLog log = new EventLog(10, line -> {});
    private ManualClock clock;
    private EventLoop loop;
    private UpstreamState upstream;

    @BeforeEach
    void start() throws Exception {
        clock = new ManualClock(1_000);
        loop = new EventLoop(clock);
        upstream = new UpstreamState(loop, log);
    }

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    private void report(long startedAtMs, long sequence) {
        report(startedAtMs, sequence, false);
    }

    private void report(long startedAtMs, long sequence, boolean isLeaving) {
        upstream.onReport(new UpstreamReport("i-1", startedAtMs, sequence, "stock", 20, isLeaving, 0));
    }

    /** Guards against requests at an upstream whose announcement to leave was acknowledged and ignored. */
    @Test
    void leaveInAReportWithAnOldSequenceApplies() {
        report(5_000, 9);
        report(5_000, 9, true);
        assertFalse(upstream.isAccepting());
        report(5_000, 10);
        assertFalse(upstream.isAccepting());
    }

    /** Guards against the same for an upstream that started again under its identifier, whose sequence starts anew. */
    @Test
    void leaveAfterARestartWithoutAStartTimeApplies() {
        report(0, 9);
        report(0, 1, true);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void lateReportThatAnOlderIncarnationLeavesIsIgnored() {
        report(6_000, 3);
        report(5_000, 9, true);
        assertTrue(upstream.isAccepting());
        report(6_000, 4);
        assertTrue(upstream.isAccepting());
    }

    @Test
    void newIncarnationThatLeavesAtOnceIsNotUsed() {
        report(5_000, 9);
        report(6_000, 1, true);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void leaveOfAnIncarnationThatHasNotReportedYetApplies() {
        report(5_000, 9);
        upstream.onLeave("i-1", 6_000);
        assertFalse(upstream.isAccepting());
        report(6_000, 1);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void numberOfRememberedLeavesIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            upstream.onLeave("foreign-" + i, 0);
        }
        assertTrue(upstream.getLeaves().size() <= 16);
    }

    @Test
    void leavingUpstreamStaysSoWhateverElseLeaves() {
        report(5_000, 1);
        upstream.onLeave("i-1", 5_000);
        for (int i = 0; i < 1_000; i++) {
            upstream.onLeave("foreign-" + i, 0);
        }
        report(5_000, 2);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void leaveOfAProbedUpstreamIsNotUndoneByItsNextReport() {
        upstream.onProbed("i-1", "stock");
        upstream.onLeave("i-1", 5_000);
        report(5_000, 9);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void leaveOfAnUnknownUpstreamAppliesOnceItIsKnown() {
        upstream.onLeave("i-1", 5_000);
        upstream.onProbed("i-1", "stock");
        assertFalse(upstream.isAccepting());
        report(5_000, 9);
        assertFalse(upstream.isAccepting());
    }

    @Test
    void newIncarnationUnderTheSameIdentifierIsUsed() {
        report(5_000, 9);
        upstream.onLeave("i-1", 5_000);
        assertFalse(upstream.isAccepting());
        report(6_000, 1);
        assertTrue(upstream.isAccepting());
    }

    @Test
    void lateLeaveOfAnOlderIncarnationIsIgnored() {
        report(6_000, 1);
        upstream.onLeave("i-1", 5_000);
        assertTrue(upstream.isAccepting());
    }

    /** Guards against an upstream that is out of use for good after an odd report of another writer. */
    @Test
    void upstreamIsUsedAgainAfterAnOddReport() {
        report(5_000, 9);
        upstream.onReport(new UpstreamReport("other", 9_000_000, 7, "stock", 20, false, 0));
        reportAgain("i-1", 5_000, 10);
        assertEquals("i-1", upstream.getInstance());
        report(5_000, 2_000_000);
        reportAgain("i-1", 5_000, 14);
        report(5_000, 18, true);
        assertFalse(upstream.isAccepting());
    }

    /** Guards against an upstream that gets no work because the clock of its machine was set back before its start. */
    @Test
    void upstreamWithAnEarlierStartTimeIsUsedOnceThePreviousOneIsSilent() {
        report(5_000, 9);
        upstream.onReport(new UpstreamReport("i-2", 3_000, 1, "stock", 20, false, 0));
        assertEquals("i-1", upstream.getInstance());
        reportAgain("i-2", 3_000, 2);
        assertEquals("i-2", upstream.getInstance());
        assertTrue(upstream.isAccepting());
    }

    @Test
    void delayedReportsOfAnEarlierIncarnationAreIgnored() {
        report(5_000, 9);
        for (int i = 1; i < 20; i++) {
            upstream.onReport(new UpstreamReport("i-0", 3_000, i, "stock", 20, false, 0));
        }
        assertEquals("i-1", upstream.getInstance());
        for (int i = 0; i < 20; i++) {
            clock.advance(1_500);
            upstream.onReport(new UpstreamReport("i-0", 3_000, 20 + i, "stock", 20, false, 0));
            report(5_000, 10 + i);
            assertEquals("i-1", upstream.getInstance());
        }
    }

    @Test
    void leaveStaysAfterItsIncarnationIsBelievedAgain() {
        report(5_000, 9);
        upstream.onLeave("i-1", 5_000);
        upstream.onReport(new UpstreamReport("other", 9_000_000, 7, "stock", 20, false, 0));
        reportAgain("i-1", 5_000, 10);
        assertEquals("i-1", upstream.getInstance());
        assertFalse(upstream.isAccepting());
    }

    /** Sends three further reports of an incarnation at the usual interval. */
    private void reportAgain(String instance, long startedAtMs, long firstSequence) {
        for (int i = 0; i < 3; i++) {
            clock.advance(1_500);
            upstream.onReport(new UpstreamReport(instance, startedAtMs, firstSequence + i, "stock", 20, false, 0));
        }
    }
}
