package io.cranberryarch.bench;

import io.cranberryarch.node.Node;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;

/** Measures the cost of the control plane in idle fleets of several sizes, and how fast a change reaches all nodes. */
final class FleetBenchmark {

    private static final int[] FLEET_SIZES = {5, 10, 20, 40};
    private static final int WARM_UP_FLEET_SIZE = 20;
    private static final long WARM_UP_MS = 10_000;
    private static final long SETTLE_MS = 3_000;
    private static final long MEASUREMENT_MS = 8_000;
    private static final int EXTRAPOLATED_FLEET_SIZE = 2_100;
    private static final double MAX_CPU_PERCENT = 1.3;
    private static final double MAX_BYTES_PER_SECOND = 3_000;
    private static final double MAX_PROPAGATION_S = 7;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long POLL_INTERVAL_MS = 5;
    private static final int NOT_FOUND = 404;
    private static final int UNAUTHORIZED = 401;

    private FleetBenchmark() {}

    static List<Measurement> run() throws Exception {
        List<Measurement> measurements = new ArrayList<>();
        LinearRegression cpu = new LinearRegression();
        LinearRegression bytes = new LinearRegression();
        LinearRegression writes = new LinearRegression();
        warmUp();
        for (int size : FLEET_SIZES) {
            try (BenchFleet fleet = new BenchFleet()) {
                for (int i = 0; i < size; i++) {
                    fleet.add("orders" + i, "orders");
                }
                fleet.awaitReady();
                Thread.sleep(SETTLE_MS);
                ProcessUsage before = ProcessUsage.read();
                Thread.sleep(MEASUREMENT_MS);
                ProcessUsage used = ProcessUsage.read().minus(before);
                double seconds = MEASUREMENT_MS / (double) TimeUnit.SECONDS.toMillis(1);
                double percent = 100 * used.cpuNanos() / NANOS_PER_SECOND / seconds / size;
                add(measurements, cpu, "control-cpu", "% of a core a node", size, percent);
                add(measurements, bytes, "control-sent", "bytes/s a node", size, used.sentBytes() / seconds / size);
                add(measurements, writes, "control-writes", "writes/s a node", size, used.writes() / seconds / size);
                measurements.addAll(measurePropagation(fleet));
            }
        }
        measurements.add(Measurement.ofBounded(
                "control-cpu-at-2100",
                "% of a core a node",
                cpu.extrapolate(EXTRAPOLATED_FLEET_SIZE),
                MAX_CPU_PERCENT));
        measurements.add(Measurement.ofBounded(
                "control-sent-at-2100",
                "bytes/s a node",
                bytes.extrapolate(EXTRAPOLATED_FLEET_SIZE),
                MAX_BYTES_PER_SECOND));
        measurements.add(Measurement.of(
                "control-writes-at-2100", "writes/s a node", writes.extrapolate(EXTRAPOLATED_FLEET_SIZE)));
        return measurements;
    }

    private static void warmUp() throws Exception {
        try (BenchFleet fleet = new BenchFleet()) {
            for (int i = 0; i < WARM_UP_FLEET_SIZE; i++) {
                fleet.add("orders" + i, "orders");
            }
            fleet.awaitReady();
            Thread.sleep(WARM_UP_MS);
        }
    }

    private static void add(
            List<Measurement> measurements,
            LinearRegression regression,
            String name,
            String unit,
            int size,
            double value) {
        measurements.add(Measurement.of(name + "-at-" + size, unit, value));
        regression.add(size, value);
    }

    private static List<Measurement> measurePropagation(BenchFleet fleet) throws Exception {
        int size = fleet.getNodes().size();
        HttpClient client = new HttpClient();
        client.start();
        try {
            long changeStartNanos = System.nanoTime();
            fleet.commitSettings("/teams/shop/routes/fresh/prefix=/fresh", "/teams/shop/routes/fresh/service=orders");
            awaitOnAllNodes(client, fleet, "/fresh/1", NOT_FOUND, false);
            double changeS = (System.nanoTime() - changeStartNanos) / NANOS_PER_SECOND;
            long withdrawalStartNanos = System.nanoTime();
            client.newRequest("http://127.0.0.1:" + fleet.getNodes().get(0).getAdminPort() + "/v1/withdraw?key=k1")
                    .method("POST")
                    .headers(headers -> headers.put("Authorization", "Bearer " + BenchFleet.OWNER_TOKEN))
                    .send();
            awaitOnAllNodes(client, fleet, "/orders/1", UNAUTHORIZED, true);
            double withdrawalS = (System.nanoTime() - withdrawalStartNanos) / NANOS_PER_SECOND;
            return List.of(
                    Measurement.ofBounded("change-everywhere-at-" + size, "s", changeS, MAX_PROPAGATION_S),
                    Measurement.ofBounded("withdrawal-everywhere-at-" + size, "s", withdrawalS, MAX_PROPAGATION_S));
        } finally {
            client.stop();
        }
    }

    private static void awaitOnAllNodes(
            HttpClient client, BenchFleet fleet, String path, int status, boolean isExpected) throws Exception {
        for (Node node : fleet.getNodes()) {
            URI target = URI.create("http://127.0.0.1:" + node.getEntryPort() + path);
            while ((requestStatus(client, target) == status) != isExpected) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    private static int requestStatus(HttpClient client, URI target) throws Exception {
        return client.newRequest(target)
                .headers(headers -> headers.put("Authorization", "Bearer " + BenchFleet.KEY))
                .send()
                .getStatus();
    }
}
