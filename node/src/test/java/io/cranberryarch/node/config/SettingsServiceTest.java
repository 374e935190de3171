package io.cranberryarch.node.config;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.standin.InMemoryPlatform;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SettingsServiceTest {

    private static final int NODE_COUNT = 2_100;
    private static final int MAX_PLATFORM_READS_PER_SECOND = 2_000;
    private static final int DURATION_S = 120;
    private static final long POLL_INTERVAL_MS = 500;

    /** An in-memory table that can fail and counts the requests. */
    private static final class CountingTable implements TableStore {
        private final InMemoryPlatform platform = new InMemoryPlatform();
        private boolean isDown;
        private int requests;

        @Override
        public Optional<Row> get(String key) throws PlatformException {
            request();
            return platform.get(key);
        }

        @Override
        public List<Row> list(String prefix, String after, int limit) throws PlatformException {
            request();
            return platform.list(prefix, after, limit);
        }

        @Override
        public boolean commit(Transaction transaction) throws PlatformException {
            request();
            return platform.commit(transaction);
        }

        private void request() throws PlatformException {
            requests++;
            if (isDown) {
                throw new PlatformException("down");
            }
        }
    }

    private final CountingTable table = new CountingTable();
    private final ManualClock clock = new ManualClock(1_000);
    private final SettingsService settings =
            new SettingsService(table, new InMemoryPlatform(), null, new NodeMetrics(), clock);

    @Test
    void fleetStaysWithinThePlatformReadLimitDuringAnOutage() {
        settings.poll();
        assertTrue(settings.isReady());
        table.isDown = true;
        assertReadsWithinLimit();
        assertFalse(settings.isPlatformReachable());
    }

    @Test
    void fleetStartedDuringAnOutageStaysWithinThePlatformReadLimit() {
        table.isDown = true;
        assertReadsWithinLimit();
        assertFalse(settings.isReady());
    }

    private void assertReadsWithinLimit() {
        table.requests = 0;
        for (long ms = 0; ms < DURATION_S * 1_000; ms += POLL_INTERVAL_MS) {
            clock.advance(POLL_INTERVAL_MS);
            settings.poll();
        }
        long readsPerSecond = (long) table.requests * NODE_COUNT / DURATION_S;
        assertTrue(
                readsPerSecond < MAX_PLATFORM_READS_PER_SECOND,
                "platform reads of the fleet per second: " + readsPerSecond);
    }
}
