package io.cranberryarch.bench;

import java.util.ArrayList;
import java.util.List;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs {@link DecisionBenchmark} and returns the time and the allocated bytes per operation. */
final class DecisionBenchmarkRunner {

    private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";
    private static final int ITERATIONS = 3;

    private DecisionBenchmarkRunner() {}

    static List<Measurement> run() throws RunnerException {
        Options options = new OptionsBuilder()
                .include(DecisionBenchmark.class.getName())
                .addProfiler(GCProfiler.class)
                .forks(1)
                .warmupIterations(ITERATIONS)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(ITERATIONS)
                .measurementTime(TimeValue.seconds(1))
                .build();
        List<Measurement> measurements = new ArrayList<>();
        for (RunResult run : new Runner(options).run()) {
            Result<?> time = run.getPrimaryResult();
            String name = "decision-" + time.getLabel();
            measurements.add(Measurement.of(name + "-time", "ns", time.getScore()));
            Result<?> allocated = run.getSecondaryResults().get(ALLOCATION_METRIC);
            if (allocated == null) {
                allocated = run.getSecondaryResults().get("\u00b7" + ALLOCATION_METRIC);
            }
            measurements.add(Measurement.of(name + "-allocated", "bytes", allocated.getScore()));
        }
        return measurements;
    }
}
