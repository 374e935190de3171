package io.cranberryarch.decision.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LeaseTest {

    private static final long LENGTH_MS = 60_000;
    private static final long START_MS = 1_000_000;
    private static final int STEPS = 600;
    private static final int CONTENDER_COUNT = 3;
    private static final int MAX_STEP_MS = 4_000;
    private static final int MAX_PAUSE_MS = 200_000;

    /** A row whose writes may be delayed, or succeed although their answers are lost. */
    private static final class FakeRow {
        private Optional<LeaseRecord> content = Optional.empty();
        private long version;

        boolean write(LeaseWrite write) {
            if (write.requiredVersion() != version) {
                return false;
            }
            content = Optional.of(write.record());
            version++;
            return true;
        }
    }

    /** A contender whose process may be paused or replaced, and whose answers may be lost. */
    private static final class FakeProcess {
        private final String address;
        private long incarnation = 1;
        private Lease lease;
        private long pausedUntilMs;
        private final List<LeaseWrite> delayedWrites = new ArrayList<>();

        FakeProcess(String address) {
            this.address = address;
            replace();
        }

        void replace() {
            incarnation++;
            lease = new Lease("l", new LeaseContender(address, incarnation, address), LENGTH_MS, 0);
        }

        void step(FakeRow row, SplittableRandom random, long nowMs) {
            if (lease.isReadDue(nowMs)) {
                lease.onRead(row.content, row.version, nowMs);
            }
            Optional<LeaseWrite> write = lease.nextWrite(nowMs);
            if (write.isEmpty()) {
                return;
            }
            switch (random.nextInt(5)) {
                case 0 -> {
                    row.write(write.get());
                    lease.onWriteFailed();
                }
                case 1 -> {
                    delayedWrites.add(write.get());
                    lease.onWriteFailed();
                }
                default -> {
                    if (row.write(write.get())) {
                        lease.onWritten(write.get());
                    } else {
                        lease.onWriteFailed();
                    }
                }
            }
        }
    }

    @Property(tries = 300, seed = "11")
    void twoProcessesNeverHoldALeaseAtTheSameTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FakeRow row = new FakeRow();
        List<FakeProcess> processes = new ArrayList<>();
        for (int i = 0; i < CONTENDER_COUNT; i++) {
            processes.add(new FakeProcess("address-" + i));
        }
        long nowMs = START_MS;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(MAX_STEP_MS);
            FakeProcess process = processes.get(random.nextInt(CONTENDER_COUNT));
            if (process.pausedUntilMs <= nowMs) {
                runRandomAction(process, row, random, nowMs);
            }
            assertAtMostOneHolder(processes, nowMs);
        }
    }

    private static void runRandomAction(FakeProcess process, FakeRow row, SplittableRandom random, long nowMs) {
        switch (random.nextInt(40)) {
            case 0 -> process.pausedUntilMs = nowMs + random.nextInt(MAX_PAUSE_MS);
            case 1 -> process.replace();
            case 2 -> process.lease.release();
            default -> process.step(row, random, nowMs);
        }
        if (process.lease.isReleased()) {
            process.replace();
        }
        if (!process.delayedWrites.isEmpty() && random.nextInt(3) == 0) {
            row.write(process.delayedWrites.remove(0));
        }
    }

    private static void assertAtMostOneHolder(List<FakeProcess> processes, long nowMs) {
        long holders = processes.stream()
                .filter(process -> process.lease.find(nowMs).isPresent())
                .count();
        assertTrue(holders <= 1, "holders: " + holders);
    }

    @Test
    void replacingProcessAcquiresTheLeaseImmediately() {
        FakeRow row = new FakeRow();
        Lease first = new Lease("l", new LeaseContender("i", 1, "a"), LENGTH_MS, 0);
        first.onRead(row.content, row.version, START_MS);
        assertTrue(row.write(first.nextWrite(START_MS).orElseThrow()));
        Lease second = new Lease("l", new LeaseContender("i", 2, "a"), LENGTH_MS, 0);
        second.onRead(row.content, row.version, START_MS + 1);
        LeaseWrite write = second.nextWrite(START_MS + 1).orElseThrow();
        assertEquals(LeaseOrigin.REPLACED, write.record().origin());
        assertEquals(2, write.record().epoch());
    }

    @Test
    void lostAnswerIsResolvedByReading() {
        FakeRow row = new FakeRow();
        Lease lease = new Lease("l", new LeaseContender("i", 1, "a"), LENGTH_MS, 0);
        lease.onRead(row.content, row.version, START_MS);
        assertTrue(row.write(lease.nextWrite(START_MS).orElseThrow()));
        lease.onWriteFailed();
        assertFalse(lease.find(START_MS + 1).isPresent());
        lease.onRead(row.content, row.version, START_MS + 500);
        HeldLease held = lease.find(START_MS + 500).orElseThrow();
        assertEquals(START_MS + LENGTH_MS, held.endsAtMs());
        assertEquals(LeaseOrigin.FIRST, held.origin());
    }
}
