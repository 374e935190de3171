package io.cranberryarch.bench;

import io.cranberryarch.node.Node;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Measures the latency that one node and two nodes add to a direct call, in turns within one run. */
final class LatencyBenchmark {

    private static final int[] RATES_PER_SECOND = {50, 200, 500};
    private static final double[] PERCENTILES = {50, 99, 99.9};
    private static final int ROUNDS = 5;
    private static final long ROUND_MS = 2_000;
    private static final long WARM_UP_MS = 6_000;
    private static final int WARM_UP_RATE = 500;
    private static final double NANOS_A_MS = 1e6;
    private static final double NANOS_A_US = 1e3;
    private static final double MS_A_SECOND = 1e3;
    private static final double BOUND_P99_MS = 0.66;

    private LatencyBenchmark() {}

    static List<Measurement> run() throws Exception {
        List<Measurement> measurements = new ArrayList<>();
        try (BenchFleet fleet = new BenchFleet();
                OpenLoopCaller caller = new OpenLoopCaller()) {
            Node near = fleet.add("orders1", "orders");
            Node far = fleet.add("history1", "history");
            fleet.awaitReady();
            Map<Way, URI> targets = new EnumMap<>(Way.class);
            targets.put(Way.DIRECT, fleet.getUpstream().resolve("/orders/1"));
            targets.put(Way.ONE_NODE, URI.create("http://127.0.0.1:" + near.getEntryPort() + "/orders/1"));
            targets.put(Way.TWO_NODES, URI.create("http://127.0.0.1:" + far.getEntryPort() + "/orders/1"));
            for (Way way : Way.values()) {
                caller.run(targets.get(way), WARM_UP_RATE, WARM_UP_MS);
            }
            for (int rate : RATES_PER_SECOND) {
                measure(rate, targets, caller, measurements);
            }
            measurements.add(Measurement.ofBounded("latency-failures", "requests", (double) caller.getFailures(), 0));
        }
        return measurements;
    }

    private static void measure(int rate, Map<Way, URI> targets, OpenLoopCaller caller, List<Measurement> measurements)
            throws InterruptedException, IOException {
        Map<Way, List<Histogram>> rounds = new EnumMap<>(Way.class);
        Map<Way, Long> cpuNanos = new EnumMap<>(Way.class);
        for (int round = 0; round < ROUNDS; round++) {
            for (Way way : Way.values()) {
                ProcessUsage before = ProcessUsage.read();
                Histogram histogram = caller.run(targets.get(way), rate, ROUND_MS);
                cpuNanos.merge(way, ProcessUsage.read().minus(before).cpuNanos(), Long::sum);
                rounds.computeIfAbsent(way, key -> new ArrayList<>()).add(histogram);
            }
        }
        double calls = rate * ROUND_MS * ROUNDS / MS_A_SECOND;
        for (Way way : Way.values()) {
            long added = cpuNanos.get(way) - (way == Way.DIRECT ? 0 : cpuNanos.get(Way.DIRECT));
            String cpuName = "cpu-" + way.toText() + "-at-" + rate;
            measurements.add(Measurement.of(cpuName, "us a call", added / NANOS_A_US / calls));
            for (double percentile : PERCENTILES) {
                double ms = toMedian(rounds.get(way), rounds.get(Way.DIRECT), percentile, way == Way.DIRECT);
                String name = "latency-" + way.toText() + "-p" + percentile + "-at-" + rate;
                boolean isBounded = way == Way.TWO_NODES && percentile == 99;
                measurements.add(
                        isBounded
                                ? Measurement.ofBounded(name, "ms", ms, BOUND_P99_MS)
                                : Measurement.of(name, "ms", ms));
            }
        }
    }

    /** The median over rounds of a percentile, less that of the direct call in the same round. */
    private static double toMedian(
            List<Histogram> rounds, List<Histogram> direct, double percentile, boolean isAbsolute) {
        double[] values = new double[rounds.size()];
        for (int i = 0; i < values.length; i++) {
            long base = isAbsolute ? 0 : direct.get(i).getValueAtPercentile(percentile);
            values[i] = (rounds.get(i).getValueAtPercentile(percentile) - base) / NANOS_A_MS;
        }
        Arrays.sort(values);
        return values[values.length / 2];
    }

    /** The way of a call. */
    private enum Way {
        DIRECT("direct"),
        ONE_NODE("added-by-one-node"),
        TWO_NODES("added-by-two-nodes");

        private final String text;

        Way(String text) {
            this.text = text;
        }

        String toText() {
            return text;
        }
    }
}
