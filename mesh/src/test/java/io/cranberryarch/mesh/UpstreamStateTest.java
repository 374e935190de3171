package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.net.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamStateTest {

    private final EventLog log = new EventLog(10, line -> {});
    private EventLoop loop;
    private UpstreamState upstream;

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop(new ManualClock(1_000));
        upstream = new UpstreamState(loop, log);
    }

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    private void report(long startedAtMs, long sequence) {
        upstream.onReport(new UpstreamReport("i-1", startedAtMs, sequence, "stock", 20, false, 0));
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
}
