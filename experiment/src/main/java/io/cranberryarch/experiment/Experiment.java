package io.cranberryarch.experiment;

import java.util.List;

/**
 * Runs scenarios under a policy.
 *
 * <pre>
 * RunResults outcomes = Experiment.run(Experiment.toLoad(2, 1), Policy.CRANBERRYARCH);
 * outcomes.toGoodput();
 * </pre>
 */
public final class Experiment {

    /** The loads of a full run, as multiples of the capacity. */
    public static final List<Double> LOADS = List.of(0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0);

    private static final double USUAL_LOAD = 0.8;
    private static final double SURGE_FACTOR = 10;
    private static final double SLOW_FACTOR = 4;
    private static final long MICROS_PER_MS = 1_000;

    private Experiment() {}

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @param policy the policy
     * @return what came out, the same for the same arguments
     */
    static RunResults run(Scenario scenario, Policy policy) {
        Simulation simulation = new Simulation(scenario.seed());
        RunResults outcomes = new RunResults(scenario);
        new ModelCallers(new CallGraph(simulation, policy, scenario), outcomes).start();
        simulation.run(Scenario.END_MS * MICROS_PER_MS);
        return outcomes;
    }

    /** A chain of ten under a steady load, with all priorities. */
    static Scenario toLoad(double load, long seed) {
        return new Scenario(Scenario.toChain(), Scenario.toAccounts(), true, load, Scenario.Event.NONE, seed);
    }

    /** A tree with a shared service under a steady load, with all priorities. */
    static Scenario toTreeLoad(double load, long seed) {
        return new Scenario(Scenario.toTree(), Scenario.toAccounts(), true, load, Scenario.Event.NONE, seed);
    }

    /** A surge of demand for five seconds. */
    static Scenario toSurge(long seed) {
        Scenario.Event event = new Scenario.Event(SURGE_FACTOR, 0, 1);
        return new Scenario(Scenario.toChain(), Scenario.toAccounts(), true, USUAL_LOAD, event, seed);
    }

    /** The deepest service slows for five seconds. */
    static Scenario toSlowDeep(long seed) {
        List<ServiceSpec> chain = Scenario.toChain();
        Scenario.Event event = new Scenario.Event(1, chain.size() - 1, SLOW_FACTOR);
        return new Scenario(chain, Scenario.toAccounts(), true, USUAL_LOAD, event, seed);
    }

    /** One client account sends ten times its rate, all requests are equally important. */
    static Scenario toOneOver(int index, long seed) {
        return new Scenario(
                Scenario.toChain(), Scenario.toAccountsWithOneOver(index), false, 1, Scenario.Event.NONE, seed);
    }
}
