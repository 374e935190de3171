package io.cranberryarch.experiment.serving;

import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

/** Runs scenarios of the serving model on several seeds, and compares mechanisms. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Runs scenario files in a model of a fleet that takes the decisions of a node; no process is contacted.",
            "Example: cranberryarch experiment run config/scenarios/rejecting-leaf.ini --seeds 20 --ablation"
        })
public final class RunCommand implements Callable<Integer> {

    /** The quantile of the normal distribution for a confidence interval of 95 %. */
    private static final double CONFIDENCE_FACTOR = 1.96;

    @Spec
    private CommandSpec command;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "the scenario files")
    private List<Path> files = List.of();

    @Option(names = "--seeds", description = "the number of seeds, from 1 on; default ${DEFAULT-VALUE}")
    private int seeds = 5;

    @Option(
            names = "--without",
            split = ",",
            paramLabel = "MECHANISM",
            converter = MechanismConverter.class,
            description = "mechanisms to switch off in all runs, such as hedging or rank-queue")
    private List<Mechanism> without = List.of();

    @Option(names = "--ablation", description = "also runs each scenario with each mechanism switched off alone")
    private boolean isAblation;

    /** Creates a command. */
    public RunCommand() {}

    @Override
    public Integer call() throws IOException, SettingsException {
        PrintWriter out = command.commandLine().getOut();
        if (seeds < 1) {
            throw new ParameterException(command.commandLine(), "--seeds: expected at least 1, found " + seeds);
        }
        List<ServingScenario> scenarios = new ArrayList<>();
        for (Path file : files) {
            scenarios.add(ScenarioReader.read(file));
        }
        for (ServingScenario scenario : scenarios) {
            print(out, scenario);
        }
        return 0;
    }

    private void print(PrintWriter out, ServingScenario scenario) {
        out.println("scenario " + scenario.name() + ", " + seeds + " seeds; worth as a ratio of what callers are owed");
        List<ServingResults> reference = run(scenario, Optional.empty());
        printSummary(out, "all mechanisms", reference, reference);
        for (ServingScenario.RequestSpec request : scenario.toCallerRequests()) {
            out.printf(
                    Locale.ROOT,
                    "  %-24s worth %.3f; seed 1: %s%n",
                    request.name(),
                    mean(reference, results -> results.toWorth(request.name())),
                    reference.get(0).toDetails(request.name()));
        }
        for (Mechanism mechanism : isAblation ? Mechanism.values() : new Mechanism[0]) {
            printSummary(out, "without " + mechanism.toText(), run(scenario, Optional.of(mechanism)), reference);
        }
        out.flush();
    }

    private List<ServingResults> run(ServingScenario scenario, Optional<Mechanism> switchedOff) {
        Set<Mechanism> all = EnumSet.noneOf(Mechanism.class);
        all.addAll(without);
        switchedOff.ifPresent(all::add);
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> ModelFleet.run(scenario, seed, all))
                .toList();
    }

    private static void printSummary(
            PrintWriter out, String title, List<ServingResults> runs, List<ServingResults> reference) {
        List<Double> differences = new ArrayList<>();
        for (int i = 0; i < runs.size(); i++) {
            differences.add(runs.get(i).toWorth() - reference.get(i).toWorth());
        }
        out.printf(
                Locale.ROOT,
                "  %-24s worth %.3f (%+.3f +- %.3f), worst window %.3f, wasted %.0f slot-s, budget used %.2f%n",
                title,
                mean(runs, ServingResults::toWorth),
                differences.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                toConfidence(differences),
                mean(runs, ServingResults::toWorstWindow),
                mean(runs, ServingResults::getWastedMs) / 1_000,
                runs.stream().mapToDouble(ServingResults::toMaxBudgetUse).max().orElse(0));
    }

    private static double mean(List<ServingResults> runs, ToDoubleFunction<ServingResults> value) {
        return runs.stream().mapToDouble(value).average().orElse(0);
    }

    /** Returns half the width of the 95 % confidence interval of the mean of paired differences. */
    private static double toConfidence(List<Double> differences) {
        double mean =
                differences.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double squares = differences.stream()
                .mapToDouble(value -> (value - mean) * (value - mean))
                .sum();
        int count = differences.size();
        return count < 2 ? 0 : CONFIDENCE_FACTOR * Math.sqrt(squares / (count - 1) / count);
    }

    /** Converts the names of mechanisms. */
    static final class MechanismConverter implements ITypeConverter<Mechanism> {

        @Override
        public Mechanism convert(String text) {
            List<String> names = new ArrayList<>();
            for (Mechanism mechanism : Mechanism.values()) {
                if (mechanism.toText().equals(text)) {
                    return mechanism;
                }
                names.add(mechanism.toText());
            }
            throw new TypeConversionException("expected one of " + String.join(", ", names) + ", found '" + text + "'");
        }
    }
}
