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

/**
 * Measures the latency that one node and two nodes add to a direct call, alternating between the paths within one run.
 */
final class LatencyBenchmark {

    private static final int[] CALLS_PER_SECOND = {50, 200, 500};
    private static final double[] PERCENTILES = {50, 99, 99.9};
    private static final int ROUNDS = 5;
    private static final long ROUND_MS = 2_000;
    private static final long WARM_UP_MS = 6_000;
    private static final int WARM_UP_CALLS_PER_SECOND = 500;
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;
    private static final double MS_PER_SECOND = 1e3;
    private static final double MAX_ADDED_P99_MS = 0.66;

    private LatencyBenchmark() {}

    static List<Measurement> run() throws Exception {
        List<Measurement> measurements = new ArrayList<>();
        try (BenchFleet fleet = new BenchFleet();
                OpenLoopCaller caller = new OpenLoopCaller()) {
            Node upstreamNode = fleet.add("orders1", "orders");
            Node remoteNode = fleet.add("history1", "history");
            fleet.awaitReady();
            Map<CallPath, URI> targets = new EnumMap<>(CallPath.class);
            targets.put(CallPath.DIRECT, fleet.getUpstream().resolve("/orders/1"));
            targets.put(CallPath.ONE_NODE, URI.create("http://127.0.0.1:" + upstreamNode.getEntryPort() + "/orders/1"));
            targets.put(CallPath.TWO_NODES, URI.create("http://127.0.0.1:" + remoteNode.getEntryPort() + "/orders/1"));
            for (CallPath path : CallPath.values()) {
                caller.run(targets.get(path), WARM_UP_CALLS_PER_SECOND, WARM_UP_MS);
            }
            for (int rate : CALLS_PER_SECOND) {
                measure(rate, targets, caller, measurements);
            }
            measurements.add(Measurement.ofBounded("latency-failures", "requests", (double) caller.getFailures(), 0));
        }
        return measurements;
    }

    private static void measure(
            int rate, Map<CallPath, URI> targets, OpenLoopCaller caller, List<Measurement> measurements)
            throws InterruptedException, IOException {
        Map<CallPath, List<Histogram>> rounds = new EnumMap<>(CallPath.class);
        Map<CallPath, Long> cpuNanos = new EnumMap<>(CallPath.class);
        for (int round = 0; round < ROUNDS; round++) {
            for (CallPath path : CallPath.values()) {
                ProcessUsage before = ProcessUsage.read();
                Histogram histogram = caller.run(targets.get(path), rate, ROUND_MS);
                cpuNanos.merge(path, ProcessUsage.read().minus(before).cpuNanos(), Long::sum);
                rounds.computeIfAbsent(path, key -> new ArrayList<>()).add(histogram);
            }
        }
        double calls = rate * ROUND_MS * ROUNDS / MS_PER_SECOND;
        for (CallPath path : CallPath.values()) {
            long addedNanos = cpuNanos.get(path) - (path == CallPath.DIRECT ? 0 : cpuNanos.get(CallPath.DIRECT));
            String cpuName = "cpu-" + path.toText() + "-at-" + rate;
            measurements.add(Measurement.of(cpuName, "us a call", addedNanos / NANOS_PER_US / calls));
            for (double percentile : PERCENTILES) {
                double ms = computeMedianMs(
                        rounds.get(path), rounds.get(CallPath.DIRECT), percentile, path == CallPath.DIRECT);
                String name = "latency-" + path.toText() + "-p" + percentile + "-at-" + rate;
                boolean isBounded = path == CallPath.TWO_NODES && percentile == 99;
                measurements.add(
                        isBounded
                                ? Measurement.ofBounded(name, "ms", ms, MAX_ADDED_P99_MS)
                                : Measurement.of(name, "ms", ms));
            }
        }
    }

    /**
     * Returns the median over all rounds of a percentile in milliseconds, less that of the direct path in the same
     * round unless {@code isAbsolute}.
     */
    private static double computeMedianMs(
            List<Histogram> rounds, List<Histogram> direct, double percentile, boolean isAbsolute) {
        double[] values = new double[rounds.size()];
        for (int i = 0; i < values.length; i++) {
            long baselineNanos = isAbsolute ? 0 : direct.get(i).getValueAtPercentile(percentile);
            values[i] = (rounds.get(i).getValueAtPercentile(percentile) - baselineNanos) / NANOS_PER_MS;
        }
        Arrays.sort(values);
        return values[values.length / 2];
    }

    /** The path of a call to the upstream. */
    private enum CallPath {
        DIRECT("direct"),
        ONE_NODE("added-by-one-node"),
        TWO_NODES("added-by-two-nodes");

        private final String text;

        CallPath(String text) {
            this.text = text;
        }

        String toText() {
            return text;
        }
    }
}
