package io.cranberryarch.bench;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.base.ManualClock;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.node.report.CountsReporter;
import io.cranberryarch.standin.InMemoryPlatform;
import java.util.ArrayList;
import java.util.List;

/** Measures the load that counting puts on the store, and the time to sum and to read a day of a whole fleet. */
final class ReportBenchmark {

    private static final int NODES = 2_100;
    private static final int ACCOUNTS_PER_NODE = 20;
    private static final int ACCOUNTS = 200;
    private static final int CALLS_PER_INTERVAL = 100;
    private static final int INTERVALS = 12;
    private static final int HOURS_PER_DAY = 24;
    private static final long INTERVAL_MS = 300_000;
    private static final long DAY_START_MS = 1_796_342_400_000L;
    private static final String DAY = "2026-12-04";
    private static final double NANOS_PER_SECOND = 1e9;

    private ReportBenchmark() {}

    static List<Measurement> run() throws Exception {
        ManualClock clock = new ManualClock(DAY_START_MS);
        CountingPlatform platform = new CountingPlatform(new InMemoryPlatform());
        CountsStore store = new CountsStore(platform, platform, clock);
        List<CountsReporter> reporters = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            NodeIdentity identity = new NodeIdentity("instance" + i, DAY_START_MS, "zone-" + i % 14, "service");
            reporters.add(new CountsReporter(identity, platform, store, clock));
        }
        for (int interval = 0; interval < INTERVALS; interval++) {
            count(reporters);
            clock.advance(INTERVAL_MS);
        }
        reporters.forEach(CountsReporter::finish);
        List<Measurement> measurements = new ArrayList<>();
        double writes = platform.getWrites();
        measurements.add(Measurement.of("report-bytes-a-write", "bytes", platform.getWrittenBytes() / writes));
        measurements.add(read("before-summing", platform, store));
        measurements.add(
                Measurement.of("report-reads-an-hour-before-summing", "reads", (double) platform.getAndResetReads()));
        clock.advance(INTERVAL_MS * (INTERVALS + 3));
        long startNanos = System.nanoTime();
        store.compactRecent();
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        measurements.add(Measurement.of("report-summing-an-hour", "s", seconds));
        measurements.add(Measurement.of("report-reads-to-sum-an-hour", "reads", (double) platform.getAndResetReads()));
        measurements.add(read("after-summing", platform, store));
        double reads = platform.getAndResetReads();
        measurements.add(Measurement.of("report-reads-a-day-after-summing", "reads", reads * HOURS_PER_DAY));
        return measurements;
    }

    private static void count(List<CountsReporter> reporters) {
        for (int i = 0; i < reporters.size(); i++) {
            CountsReporter reporter = reporters.get(i);
            for (int call = 0; call < CALLS_PER_INTERVAL; call++) {
                int account = (i + call % ACCOUNTS_PER_NODE) % ACCOUNTS;
                reporter.record("account" + account, call % 2 == 0 ? "order" : "history", Outcome.OK);
            }
            reporter.flush();
        }
    }

    private static Measurement read(String phase, CountingPlatform platform, CountsStore store) throws Exception {
        platform.getAndResetReads();
        long startNanos = System.nanoTime();
        CountsBody body = store.readDay(DAY);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        long sum = body.totals().stream().mapToLong(CountsBody.Row::count).sum();
        if (sum != (long) NODES * CALLS_PER_INTERVAL * INTERVALS) {
            throw new IllegalStateException("unexpected sum of the counts: " + sum);
        }
        return Measurement.of("report-reading-an-hour-" + phase, "s", seconds);
    }
}
