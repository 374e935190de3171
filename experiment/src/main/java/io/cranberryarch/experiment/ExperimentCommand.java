package io.cranberryarch.experiment;

import io.cranberryarch.experiment.serving.RunCommand;
import io.cranberryarch.settings.Priority;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares policies in a model of call graphs under load and prints the results. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        subcommands = RunCommand.class,
        description = "Runs a small model of call graphs under load and compares policies; no process is contacted.")
public final class ExperimentCommand implements Callable<Integer> {

    private static final double PERCENT = 100;

    @Option(names = "--seed", description = "the seed of the random numbers, default ${DEFAULT-VALUE}")
    private long seed = 1;

    @Option(
            names = "--policy",
            split = ",",
            description = "the policies to compare: ${COMPLETION-CANDIDATES}; default all")
    private List<Policy> policies = List.of(Policy.values());

    /** Creates a command. */
    public ExperimentCommand() {}

    @Override
    public Integer call() {
        for (Policy policy : policies) {
            System.out.printf("policy %s, seed %d%n", policy, seed);
            for (double load : Experiment.LOADS) {
                printLoad("chain", load, Experiment.run(Experiment.chainUnderLoad(load, seed), policy));
            }
            for (double load : Experiment.LOADS) {
                printLoad("tree", load, Experiment.run(Experiment.treeUnderLoad(load, seed), policy));
            }
            printRecovery("surge", Experiment.run(Experiment.surge(seed), policy));
            printRecovery("slow deep service", Experiment.run(Experiment.slowDeepService(seed), policy));
            printAccountOverRate("large", Experiment.run(Experiment.accountOverRate(0, seed), policy));
            printAccountOverRate("small", Experiment.run(Experiment.accountOverRate(7, seed), policy));
        }
        return 0;
    }

    private static void printLoad(String graph, double load, RunResults results) {
        StringBuilder line = new StringBuilder();
        line.append(String.format(
                "  %s at load %4.1f: goodput %5.1f %%, failed", graph, load, PERCENT * results.toGoodput()));
        for (Priority priority : Priority.values()) {
            line.append(String.format(" %s %.1f %%", priority.toText(), PERCENT * results.toFailureRatio(priority)));
        }
        System.out.println(line);
    }

    private static void printRecovery(String event, RunResults results) {
        OptionalLong recoveryMs = results.toRecoveryMs();
        System.out.printf(
                "  %s: recovery %s, goodput over the run %.1f %%%n",
                event,
                recoveryMs.isPresent() ? recoveryMs.getAsLong() + " ms" : "never",
                PERCENT * results.toGoodput());
    }

    private static void printAccountOverRate(String account, RunResults results) {
        System.out.printf(
                "  %s client account at ten times its rate: goodput %.1f %%, worst share %.1f %%%n",
                account, PERCENT * results.toGoodput(), PERCENT * results.toMinFairShareRatio());
    }
}
