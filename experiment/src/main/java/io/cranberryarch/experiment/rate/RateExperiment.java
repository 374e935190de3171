package io.cranberryarch.experiment.rate;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Measures the ratio of calls that are refused although they are within the rate of their client account. */
public final class RateExperiment {

    /** Client accounts of different sizes with loads well below their rates. */
    public static final List<RateLoad> NORMAL_LOADS = List.of(
            new RateLoad("large", 500, 500, 0.8),
            new RateLoad("medium", 50, 50, 0.8),
            new RateLoad("small", 5, 10, 0.5),
            new RateLoad("tiny", 1, 5, 0.3));

    private static final int ZONES = 4;
    private static final int NODES_PER_ZONE = 4;
    private static final long RUN_MS = 120_000;
    private static final int RUNS = 8;
    private static final long SEED = 1;
    private static final List<Double> LOAD_RATIOS = List.of(0.5, 0.7, 0.8, 0.9, 0.95);
    private static final double OVERLOAD_RATIO = 5;
    private static final List<Double> FIRST_ZONE_RATIOS = List.of(0.02, 0.05, 0.1, 0.15, 0.25, 0.4);

    private RateExperiment() {}

    /**
     * Simulates a scenario with equal parts of the rate in all zones, with several seeds.
     *
     * @param load the client account and its load, not {@code null}
     * @param scenario the scenario, not {@code null}
     * @return the sum of the outcomes
     */
    public static RateOutcome run(RateLoad load, RateScenario scenario) {
        return run(load, scenario, 0, RUNS);
    }

    private static RateOutcome run(RateLoad load, RateScenario scenario, double firstZoneRatio, int runs) {
        RateTopology topology = RateTopology.of(ZONES, NODES_PER_ZONE, firstZoneRatio);
        RateOutcome sum = RateOutcome.NONE;
        for (int i = 0; i < runs; i++) {
            sum = sum.plus(new RateModel(topology, load, scenario, SEED + i).run(RUN_MS));
        }
        return sum;
    }

    /**
     * Prints all tables.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        printScenarios(System.out);
        printLoads(System.out);
        printPartitions(System.out);
        printOverloads(System.out);
    }

    private static void printScenarios(PrintStream out) {
        out.println("refused within rate, % (calls; messages a call)");
        for (RateScenario scenario : RateScenario.values()) {
            for (RateLoad load : NORMAL_LOADS) {
                RateOutcome outcome = run(load, scenario);
                double messages = (double) outcome.messages() / outcome.calls();
                out.printf(
                        Locale.ROOT,
                        "%-16s %-7s %8.4f (%d; %.3f)%n",
                        scenario,
                        load.name(),
                        100 * outcome.toRefusedRatio(),
                        outcome.calls(),
                        messages);
            }
        }
    }

    private static void printLoads(PrintStream out) {
        out.println("refused within rate, %, by load as a ratio of the rate, rate 500 burst 500");
        for (RateScenario scenario : RateScenario.values()) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-16s", scenario));
            for (double ratio : LOAD_RATIOS) {
                double refused = run(new RateLoad("large", 500, 500, ratio), scenario, 0, 1)
                        .toRefusedRatio();
                line.append(String.format(Locale.ROOT, " %.2f:%8.4f", ratio, 100 * refused));
            }
            out.println(line);
        }
    }

    private static void printPartitions(PrintStream out) {
        out.println("zone cut off, refused within rate, % there / elsewhere, by its floor, rate 500 burst 500");
        for (double zoneRatio : FIRST_ZONE_RATIOS) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "floor %.2f", zoneRatio));
            for (double ratio : LOAD_RATIOS) {
                RateOutcome outcome = run(new RateLoad("large", 500, 500, ratio), RateScenario.ZONE_CUT, zoneRatio, 1);
                line.append(String.format(
                        Locale.ROOT,
                        "  %.2f: %6.2f / %6.2f",
                        ratio,
                        100 * outcome.toRefusedRatioInCutZone(),
                        100 * outcome.toRefusedRatioElsewhere()));
            }
            out.println(line);
        }
    }

    private static void printOverloads(PrintStream out) {
        out.println("five times the rate is sent: percentage of what one bucket admits; messages a call");
        for (RateScenario scenario : List.of(RateScenario.EVEN, RateScenario.ONE_INSTANCE, RateScenario.WANDERING)) {
            for (RateLoad load : NORMAL_LOADS) {
                RateLoad overload = new RateLoad(load.name(), load.ratePerSecond(), load.burst(), OVERLOAD_RATIO);
                RateOutcome outcome = run(overload, scenario, 0, 1);
                out.printf(
                        Locale.ROOT,
                        "%-16s %-7s %6.2f %.3f%n",
                        scenario,
                        load.name(),
                        100.0 * outcome.admitted() / outcome.withinRate(),
                        (double) outcome.messages() / outcome.calls());
            }
        }
    }
}
