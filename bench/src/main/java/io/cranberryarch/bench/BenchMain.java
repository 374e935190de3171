package io.cranberryarch.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the benchmarks, prints and writes the results, and with {@code --check} fails if a bound is exceeded. */
public final class BenchMain {

    private BenchMain() {}

    /**
     * Runs the benchmarks.
     *
     * @param arguments the directory for the results, optionally {@code --check}, and the names of the parts to run,
     *     all parts if none is named
     * @throws Exception if a part fails
     */
    public static void main(String[] arguments) throws Exception {
        System.setProperty("tinylog.writer.level", "error");
        Path directory = Path.of(arguments[0]);
        List<String> options = List.of(arguments).subList(1, arguments.length);
        boolean isCheck = options.contains("--check");
        List<Measurement> exceeded = new ArrayList<>();
        for (Part part : Part.values()) {
            if (options.size() > (isCheck ? 1 : 0) && !options.contains(part.toText())) {
                continue;
            }
            List<String> lines = new ArrayList<>(List.of("name,unit,value,bound"));
            for (Measurement measurement : part.run()) {
                lines.add(measurement.toCsv());
                System.out.println(measurement.toCsv() + (measurement.isExceeded() ? "  EXCEEDED" : ""));
                if (measurement.isExceeded()) {
                    exceeded.add(measurement);
                }
            }
            Files.write(directory.resolve(part.toText() + ".csv"), lines);
        }
        System.out.println(exceeded.size() + " bounds exceeded");
        System.exit(isCheck && !exceeded.isEmpty() ? 1 : 0);
    }

    /** The parts of the benchmarks, in execution order. */
    private enum Part {
        DECISIONS("decisions") {
            @Override
            List<Measurement> run() throws Exception {
                return DecisionBenchmarkRunner.run();
            }
        },
        LATENCY("latency") {
            @Override
            List<Measurement> run() throws Exception {
                return LatencyBenchmark.run();
            }
        },
        FLEET("fleet") {
            @Override
            List<Measurement> run() throws Exception {
                return FleetBenchmark.run();
            }
        },
        MEMORY("memory") {
            @Override
            List<Measurement> run() throws Exception {
                return FootprintBenchmark.run();
            }
        },
        REPORT("report") {
            @Override
            List<Measurement> run() throws Exception {
                return ReportBenchmark.run();
            }
        };

        private final String text;

        Part(String text) {
            this.text = text;
        }

        abstract List<Measurement> run() throws Exception;

        String toText() {
            return text;
        }
    }
}
