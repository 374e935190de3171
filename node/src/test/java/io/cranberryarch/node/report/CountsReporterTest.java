package io.cranberryarch.node.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.base.ManualClock;
import io.cranberryarch.counts.CountsNames;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.counts.IncrementQueue;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.store.PlatformException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CountsReporterTest {

    private static final String DAY = "2026-12-04";
    private static final long DAY_MS = 1796342400_000L;
    private static final int DAY_MINUTES = 24 * 60;

    @Property(tries = 300, seed = "1")
    void sumsNeverExceedWhatHappenedAndShortfallsAreReported(@ForAll long seed) throws PlatformException {
        Fleet fleet = new Fleet(new Random(seed), 0.3);
        for (int i = 0; i < 150; i++) {
            fleet.step();
        }
        fleet.end();
        CountsBody body = fleet.counts.readDay(DAY);
        long sum = body.totals().stream().mapToLong(CountsBody.Row::count).sum();
        boolean isComplete = CountsGap.find(body, DAY_MS, DAY_MINUTES).isEmpty();
        assertTrue(sum <= fleet.recorded, () -> "counted " + sum + " of " + fleet.recorded);
        if (fleet.isNoCountLost) {
            assertEquals(fleet.recorded, sum, "no count was lost");
        }
        if (isComplete) {
            assertEquals(fleet.recorded - fleet.recordedByUnstoredProcesses, sum, "counts are reported as complete");
        }
        if (fleet.isNoProcessKilled) {
            assertTrue(isComplete, "no process was killed");
        }
    }

    @Example
    void memoryIsBoundedInALongOutageAndTheLossIsReported() throws PlatformException {
        Fleet fleet = new Fleet(new Random(1), 0);
        fleet.processes.get(0).flush();
        fleet.platform.setFaultRatio(1);
        for (int minute = 0; minute < DAY_MINUTES - 10; minute++) {
            fleet.clock.advance(60_000);
            fleet.processes.get(0).record(5);
            fleet.processes.get(0).flush();
            assertTrue(fleet.processes.get(0).reporter.getPendingIncrements() <= IncrementQueue.MAX_QUEUED_INCREMENTS);
        }
        fleet.end();
        CountsBody body = fleet.counts.readDay(DAY);
        long sum = body.totals().stream().mapToLong(CountsBody.Row::count).sum();
        long lost = body.sources().stream().mapToLong(CountsBody.Source::lost).sum();
        assertEquals(fleet.recorded, sum + lost);
    }

    /** Processes that count, crash, stop and are replaced while requests to the platform fail at random. */
    private static final class Fleet {

        private static final int INSTANCES = 4;

        private final Random random;
        private final double maxFaultRatio;
        private final ManualClock clock = new ManualClock(DAY_MS + 1_000);
        private final FaultyPlatform platform;
        private final CountsStore counts;
        private final List<CountingNode> processes = new ArrayList<>();
        private long recorded;
        private long recordedByUnstoredProcesses;
        private boolean isNoCountLost = true;
        private boolean isNoProcessKilled = true;

        Fleet(Random random, double maxFaultRatio) {
            this.random = random;
            this.maxFaultRatio = maxFaultRatio;
            this.platform = new FaultyPlatform(random);
            this.counts = new CountsStore(platform, platform, clock);
            for (int i = 0; i < INSTANCES; i++) {
                processes.add(new CountingNode("instance" + i));
            }
        }

        void step() {
            int index = random.nextInt(INSTANCES);
            CountingNode process = processes.get(index);
            switch (random.nextInt(12)) {
                case 0 -> platform.setFaultRatio(random.nextBoolean() ? 0 : random.nextDouble() * 2 * maxFaultRatio);
                case 1 -> platform.setFaultRatio(random.nextInt(3) == 0 ? 1 : 0);
                case 2 -> platform.applyOneDelayedWrite();
                case 3 -> compact();
                case 4 -> clock.advance(random.nextInt(1_000_000));
                case 5 -> replace(index, random.nextInt(4) == 0);
                case 6, 7, 8 -> process.record(1 + random.nextInt(9));
                default -> {
                    clock.advance(10_000);
                    process.flush();
                }
            }
        }

        void end() {
            platform.setFaultRatio(0);
            for (CountingNode process : processes) {
                process.reporter.finish();
            }
            compact();
            for (int i = 0; i < 1_000; i++) {
                platform.applyOneDelayedWrite();
            }
            compact();
        }

        private void replace(int index, boolean isKilled) {
            CountingNode old = processes.get(index);
            if (!isKilled) {
                old.finish();
            }
            if (!old.isStored) {
                isNoCountLost = false;
                isNoProcessKilled = false;
            }
            if (isKilled) {
                isNoProcessKilled = false;
            }
            if (platform.hasNoStoredIncrement(old.name, old.incarnation)) {
                recordedByUnstoredProcesses += old.recordedByProcess;
            }
            clock.advance(1_000);
            processes.set(index, new CountingNode(old.name));
        }

        private void compact() {
            for (int hour = 0; hour < 24; hour++) {
                try {
                    counts.compact(CountsNames.toHour(DAY, hour));
                } catch (PlatformException e) {
                    return;
                }
            }
        }

        /** One process of an instance. */
        private final class CountingNode {

            private final String name;
            private final long incarnation = clock.wallMs();
            private final CountsReporter reporter;
            private boolean isStored;
            private long recordedByProcess;

            CountingNode(String name) {
                this.name = name;
                NodeIdentity identity = new NodeIdentity(name, incarnation, "zone-a", "orders");
                this.reporter = new CountsReporter(identity, platform, counts, clock);
            }

            void record(int count) {
                for (int i = 0; i < count; i++) {
                    reporter.record("acme", "order", Outcome.OK);
                }
                recorded += count;
                recordedByProcess += count;
                isStored = false;
            }

            void flush() {
                isStored = reporter.flush();
            }

            void finish() {
                isStored = reporter.finish();
            }
        }
    }
}
