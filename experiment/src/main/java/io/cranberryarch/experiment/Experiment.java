package io.cranberryarch.experiment;

import java.util.List;

/**
 * Simulates scenarios under a policy.
 *
 * <pre>
 * RunResults results = Experiment.run(Experiment.chainUnderLoad(2, 1), Policy.CRANBERRYARCH);
 * results.toGoodput();
 * </pre>
 */
public final class Experiment {

    /** The loads to simulate, as multiples of the capacity. */
    public static final List<Double> LOADS = List.of(0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0);

    private static final double NORMAL_LOAD = 0.8;
    private static final double SURGE_FACTOR = 10;
    private static final double SLOWDOWN_FACTOR = 4;
    private static final long MICROS_PER_MS = 1_000;

    private Experiment() {}

    /**
     * Simulates a scenario.
     *
     * @param scenario the scenario, not {@code null}
     * @param policy the policy, not {@code null}
     * @return the results, equal for equal arguments
     */
    static RunResults run(Scenario scenario, Policy policy) {
        Simulation simulation = new Simulation(scenario.seed());
        RunResults results = new RunResults(scenario);
        new ModelCallers(new CallGraph(simulation, policy, scenario), results).start();
        simulation.run(Scenario.END_MS * MICROS_PER_MS);
        return results;
    }

    /** Returns a scenario with a chain of ten services under a steady load, with all priorities. */
    static Scenario chainUnderLoad(double load, long seed) {
        return new Scenario(
                Scenario.chainServices(), Scenario.defaultAccounts(), true, load, Scenario.Event.NONE, seed);
    }

    /** Returns a scenario with a tree that has a shared service under a steady load, with all priorities. */
    static Scenario treeUnderLoad(double load, long seed) {
        return new Scenario(Scenario.treeServices(), Scenario.defaultAccounts(), true, load, Scenario.Event.NONE, seed);
    }

    /** Returns a scenario with a surge of demand for five seconds. */
    static Scenario surge(long seed) {
        Scenario.Event event = new Scenario.Event(SURGE_FACTOR, 0, 1);
        return new Scenario(Scenario.chainServices(), Scenario.defaultAccounts(), true, NORMAL_LOAD, event, seed);
    }

    /** Returns a scenario in which the deepest service slows down for five seconds. */
    static Scenario slowDeepService(long seed) {
        List<ServiceSpec> chain = Scenario.chainServices();
        Scenario.Event event = new Scenario.Event(1, chain.size() - 1, SLOWDOWN_FACTOR);
        return new Scenario(chain, Scenario.defaultAccounts(), true, NORMAL_LOAD, event, seed);
    }

    /**
     * Returns a scenario in which one client account sends ten times its rate and all requests have the same priority.
     */
    static Scenario accountOverRate(int index, long seed) {
        return new Scenario(
                Scenario.chainServices(), Scenario.accountsWithOneOverRate(index), false, 1, Scenario.Event.NONE, seed);
    }
}
