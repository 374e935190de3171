package io.cranberryarch.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.base.ManualClock;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.node.report.CountsReporter;
import io.cranberryarch.standin.InMemoryPlatform;
import io.cranberryarch.wire.CallMessage;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Checks the deterministic numbers of bytes, reads and writes against their bounds. */
class OperationCountsTest {

    private static final int FLEET_NODES = 2_100;
    private static final int MAX_FLEET_WRITES_PER_SECOND = 300;
    private static final int MAX_CATCH_UP_WRITES_PER_SECOND = 500;
    private static final int MAX_NODE_BYTES_PER_SECOND = 3_000;
    private static final int DURATION_S = 3_600;
    private static final int FLUSH_INTERVAL_S = 10;

    @Test
    void encodingAddsFewBytesToTheBodyOfACall() throws IOException {
        int bytes = FrameCodec.encode(new Frame(1, new CallMessage(DecisionBenchmark.createCall())))
                .remaining();
        assertTrue(bytes - DecisionBenchmark.createCall().body().length <= 128, () -> bytes + " bytes");
    }

    @Test
    void countingStaysWithinTheStoreLimitsAndAnHourIsReadInFewReads() throws Exception {
        ManualClock clock = new ManualClock(1_796_342_400_000L);
        CountingPlatform platform = new CountingPlatform(new InMemoryPlatform());
        CountsStore store = new CountsStore(platform, platform, clock);
        NodeIdentity identity = new NodeIdentity("instance", clock.wallMs(), "zone-a", "orders");
        CountsReporter reporter = new CountsReporter(identity, platform, store, clock);
        for (int second = 0; second < DURATION_S; second += FLUSH_INTERVAL_S) {
            for (int account = 0; account < 50; account++) {
                reporter.record("account" + account, "order", Outcome.OK);
            }
            reporter.flush();
            clock.advance(FLUSH_INTERVAL_S * 1_000);
        }
        assertTrue(platform.getWrites() * FLEET_NODES / DURATION_S <= MAX_FLEET_WRITES_PER_SECOND);
        assertTrue(platform.getWrittenBytes() / DURATION_S <= MAX_NODE_BYTES_PER_SECOND);
        clock.advance(900_000);
        reporter.flush();
        store.compactRecent();
        platform.getAndResetReads();
        CountsBody body = store.readDay("2026-12-04");
        assertEquals(
                50L * DURATION_S / FLUSH_INTERVAL_S,
                body.totals().stream().mapToLong(CountsBody.Row::count).sum());
        assertTrue(platform.getAndResetReads() <= 24 * 3 + 3);
    }

    @Test
    void catchingUpAfterAnOutageStaysWithinTheStoreLimits() {
        ManualClock clock = new ManualClock(1_796_342_400_000L);
        CountingPlatform platform = new CountingPlatform(new InMemoryPlatform());
        CountsStore store = new CountsStore(platform, platform, clock);
        NodeIdentity identity = new NodeIdentity("instance", clock.wallMs(), "zone-a", "orders");
        CountsReporter reporter = new CountsReporter(identity, platform, store, clock);
        platform.setDown(true);
        for (int second = 0; second < DURATION_S; second += FLUSH_INTERVAL_S) {
            reporter.record("acme", "order", Outcome.OK);
            assertFalse(reporter.flush());
            clock.advance(FLUSH_INTERVAL_S * 1_000);
        }
        platform.setDown(false);
        int flushes = 0;
        for (boolean isWritten = false; !isWritten; flushes++) {
            long before = platform.getWrites();
            isWritten = reporter.flush();
            long fleetWritesPerSecond = (platform.getWrites() - before) * FLEET_NODES / FLUSH_INTERVAL_S;
            assertTrue(
                    fleetWritesPerSecond <= MAX_CATCH_UP_WRITES_PER_SECOND, () -> fleetWritesPerSecond + " writes/s");
        }
        assertTrue(flushes > 1 && reporter.getPendingIncrements() <= 1);
    }
}
