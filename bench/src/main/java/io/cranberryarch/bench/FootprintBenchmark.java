package io.cranberryarch.bench;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Measures the memory usage of a node in a process of its own, before and after calls. */
final class FootprintBenchmark {

    private static final String[] MEMORY_AREAS = {
        "heap-after-gc", "metaspace", "code-cache", "direct-buffers", "resident"
    };
    private static final double BYTES_PER_MB = 1e6;
    private static final int CALLS_PER_SECOND = 300;
    private static final long LOAD_DURATION_MS = 15_000;
    private static final long SETTLE_MS = 2_000;

    private FootprintBenchmark() {}

    static List<Measurement> run() throws Exception {
        List<Measurement> measurements = new ArrayList<>();
        try (BenchFleet fleet = new BenchFleet();
                OpenLoopCaller caller = new OpenLoopCaller()) {
            Path config = fleet.writeConfig("orders1", "orders");
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:+UseSerialGC",
                            "-cp",
                            System.getProperty("java.class.path"),
                            FootprintProbe.class.getName(),
                            config.toString())
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            try (BufferedReader in = new BufferedReader(
                            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                    PrintStream out = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8)) {
                String[] ports = in.readLine().split(" ");
                fleet.announce(Integer.parseInt(ports[0]));
                Thread.sleep(SETTLE_MS);
                out.println();
                add(measurements, "before-calls", in.readLine());
                caller.run(
                        URI.create("http://127.0.0.1:" + ports[1] + "/orders/1"), CALLS_PER_SECOND, LOAD_DURATION_MS);
                out.println();
                add(measurements, "after-calls", in.readLine());
                measurements.add(
                        Measurement.ofBounded("memory-run-failures", "requests", (double) caller.getFailures(), 0));
            } finally {
                process.destroy();
                process.waitFor();
            }
        }
        return measurements;
    }

    private static void add(List<Measurement> measurements, String phase, String line) {
        String[] values = line.split(" ");
        for (int i = 0; i < MEMORY_AREAS.length; i++) {
            measurements.add(Measurement.of(
                    "memory-" + MEMORY_AREAS[i] + "-" + phase, "MB", Double.parseDouble(values[i]) / BYTES_PER_MB));
        }
        measurements.add(
                Measurement.of("threads-" + phase, "threads", Double.parseDouble(values[MEMORY_AREAS.length])));
    }
}
