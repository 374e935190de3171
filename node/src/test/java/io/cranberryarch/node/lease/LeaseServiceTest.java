package io.cranberryarch.node.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.decision.lease.Lease;
import io.cranberryarch.decision.lease.LeaseContender;
import io.cranberryarch.node.rate.RateAllocators;
import io.cranberryarch.standin.InMemoryPlatform;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseServiceTest {

    private static final String NAME = "rate/zone-a/1";
    private static final long MINUTE_MS = 60_000;

    @Test
    void allocatorLeaseSurvivesAnHourOfPlatformOutage() {
        ManualClock clock = new ManualClock(0);
        FailingTable table = new FailingTable();
        LeaseContender self = new LeaseContender("orders1", 1, "127.0.0.1:1");
        LeaseService leases = new LeaseService(table, self, clock, Lease.LENGTH_MS);
        leases.contendFor(NAME, RateAllocators.LEASE_LENGTH_MS);
        leases.tick();
        long epoch = leases.find(NAME).orElseThrow().epoch();
        for (int minute = 0; minute < 22; minute++) {
            clock.advance(MINUTE_MS);
            leases.tick();
        }
        table.isDown = true;
        for (int minute = 0; minute < 60; minute++) {
            clock.advance(MINUTE_MS);
            leases.tick();
            assertTrue(leases.find(NAME).isPresent(), "lease lost after " + minute + " minutes");
        }
        assertEquals(epoch, leases.find(NAME).orElseThrow().epoch());
    }

    /** An in-memory table that can fail. */
    private static final class FailingTable implements TableStore {

        private final InMemoryPlatform table = new InMemoryPlatform();
        private boolean isDown;

        @Override
        public Optional<Row> get(String key) throws PlatformException {
            check();
            return table.get(key);
        }

        @Override
        public List<Row> list(String prefix, String after, int limit) throws PlatformException {
            check();
            return table.list(prefix, after, limit);
        }

        @Override
        public boolean commit(Transaction transaction) throws PlatformException {
            check();
            return table.commit(transaction);
        }

        private void check() throws PlatformException {
            if (isDown) {
                throw new PlatformException("down");
            }
        }
    }
}
