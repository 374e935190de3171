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

/** Measures what counting costs the store, and how long a day of a whole fleet takes to sum and to read. */
final class ReportBenchmark {

    private static final int NODES = 2_100;
    private static final int ACCOUNTS_A_NODE = 20;
    private static final int ACCOUNTS = 200;
    private static final int CALLS_A_SPAN = 100;
    private static final int SPANS = 12;
    private static final int HOURS_A_DAY = 24;
    private static final long SPAN_MS = 300_000;
    private static final long DAY_MS = 1_796_342_400_000L;
    private static final String DAY = "2026-12-04";
    private static final double NANOS_A_SECOND = 1e9;

    private ReportBenchmark() {}

    static List<Measurement> run() throws Exception {
        ManualClock clock = new ManualClock(DAY_MS);
        CountingPlatform platform = new CountingPlatform(new InMemoryPlatform());
        CountsStore store = new CountsStore(platform, platform, clock);
        List<CountsReporter> reporters = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            NodeIdentity identity = new NodeIdentity("instance" + i, DAY_MS, "zone-" + i % 14, "service");
            reporters.add(new CountsReporter(identity, platform, store, clock));
        }
        for (int span = 0; span < SPANS; span++) {
            count(reporters);
            clock.advance(SPAN_MS);
        }
        reporters.forEach(CountsReporter::finish);
        List<Measurement> measurements = new ArrayList<>();
        double objects = platform.getWrites();
        measurements.add(Measurement.of("report-bytes-a-write", "bytes", platform.getWrittenBytes() / objects));
        measurements.add(read("before-summing", platform, store));
        measurements.add(Measurement.of("report-reads-an-hour-before-summing", "reads", (double) platform.takeReads()));
        clock.advance(SPAN_MS * (SPANS + 3));
        long startNanos = System.nanoTime();
        store.compactRecent();
        double seconds = (System.nanoTime() - startNanos) / NANOS_A_SECOND;
        measurements.add(Measurement.of("report-summing-an-hour", "s", seconds));
        measurements.add(Measurement.of("report-reads-to-sum-an-hour", "reads", (double) platform.takeReads()));
        measurements.add(read("after-summing", platform, store));
        double reads = platform.takeReads();
        measurements.add(Measurement.of("report-reads-a-day-after-summing", "reads", reads * HOURS_A_DAY));
        return measurements;
    }

    private static void count(List<CountsReporter> reporters) {
        for (int i = 0; i < reporters.size(); i++) {
            CountsReporter reporter = reporters.get(i);
            for (int call = 0; call < CALLS_A_SPAN; call++) {
                int account = (i + call % ACCOUNTS_A_NODE) % ACCOUNTS;
                reporter.record("account" + account, call % 2 == 0 ? "order" : "history", Outcome.OK);
            }
            reporter.flush();
        }
    }

    private static Measurement read(String moment, CountingPlatform platform, CountsStore store) throws Exception {
        platform.takeReads();
        long startNanos = System.nanoTime();
        CountsBody body = store.readDay(DAY);
        double seconds = (System.nanoTime() - startNanos) / NANOS_A_SECOND;
        long sum = body.totals().stream().mapToLong(CountsBody.Row::count).sum();
        if (sum != (long) NODES * CALLS_A_SPAN * SPANS) {
            throw new IllegalStateException("the sum is wrong: " + sum);
        }
        return Measurement.of("report-reading-an-hour-" + moment, "s", seconds);
    }
}
