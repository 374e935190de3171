package io.cranberryarch.experiment.serving;

import io.cranberryarch.experiment.Simulation;
import io.cranberryarch.experiment.serving.ServingScenario.FaultSpec;
import io.cranberryarch.experiment.serving.ServingScenario.ServiceSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** The nodes of a scenario, the simulated time and the faults. */
final class ModelFleet {

    private static final double MICROS_PER_MS = 1_000;

    /** The interval at which nodes refuse waiting requests that can no longer end in time. */
    private static final long EXPIRY_INTERVAL_MS = 25;

    private final ServingScenario scenario;
    private final Simulation simulation;
    private final Set<Mechanism> switchedOff;
    private final ServingResults results;
    private final List<ModelNode> nodes = new ArrayList<>();

    ModelFleet(ServingScenario scenario, long seed, Set<Mechanism> without) {
        this.scenario = scenario;
        this.simulation = new Simulation(seed);
        this.switchedOff = without.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(without);
        this.results = new ServingResults(scenario);
        for (ServiceSpec service : scenario.services().values()) {
            for (int i = 0; i < service.instances(); i++) {
                double speed = service.speeds().get(i % service.speeds().size());
                nodes.add(new ModelNode(this, service, i, speed));
            }
        }
        nodes.forEach(node -> node.connect(nodes));
    }

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @param seed the seed of the random numbers
     * @param without the mechanisms to switch off
     * @return the results, equal for equal arguments
     */
    static ServingResults run(ServingScenario scenario, long seed, Set<Mechanism> without) {
        ModelFleet fleet = new ModelFleet(scenario, seed, without);
        fleet.startTimers();
        new ModelCallers(fleet).start();
        fleet.simulation.run(Math.round(scenario.fleet().lengthMs() * MICROS_PER_MS));
        return fleet.results;
    }

    private void startTimers() {
        double intervalMs = scenario.fleet().statusIntervalMs();
        List<ModelNode> shuffled = new ArrayList<>(nodes);
        Collections.rotate(shuffled, (int) (draw() * nodes.size()));
        for (ModelNode node : shuffled) {
            afterMs(draw() * intervalMs, () -> repeatStatus(node, intervalMs));
        }
        afterMs(EXPIRY_INTERVAL_MS, this::repeatExpiry);
    }

    private void repeatStatus(ModelNode node, double intervalMs) {
        node.reportStatus();
        afterMs(intervalMs, () -> repeatStatus(node, intervalMs));
    }

    private void repeatExpiry() {
        nodes.forEach(ModelRun::refuseExpired);
        afterMs(EXPIRY_INTERVAL_MS, this::repeatExpiry);
    }

    ServingScenario getScenario() {
        return scenario;
    }

    ServingResults getResults() {
        return results;
    }

    List<ModelNode> getNodes() {
        return nodes;
    }

    boolean uses(Mechanism mechanism) {
        return !switchedOff.contains(mechanism);
    }

    long nowMs() {
        return simulation.nowMs();
    }

    void afterMs(double delayMs, Runnable action) {
        simulation.after(Math.round(delayMs * MICROS_PER_MS), action);
    }

    void atMs(long timeMs, Runnable action) {
        afterMs((double) (timeMs - nowMs()), action);
    }

    /** Returns a random number from 0 to 1. */
    double draw() {
        return simulation.random().nextDouble();
    }

    long nextBits() {
        return simulation.random().nextLong();
    }

    /** Returns a random time of an exponential distribution, in milliseconds. */
    double drawExponentialMs(double meanMs) {
        return -meanMs * Math.log(1 - draw());
    }

    double toDelayMs(ModelNode from, ModelNode to) {
        return from.getZone() == to.getZone() ? 0 : scenario.fleet().zoneDelayMs();
    }

    /** Returns the strength of the fault of a kind that affects a node now, or the fallback if there is none. */
    double toFaultStrength(FaultKind kind, ModelNode node, double fallback) {
        for (FaultSpec fault : scenario.faults()) {
            boolean isMatch = fault.kind() == kind
                    && fault.service().equals(node.getService().name())
                    && fault.isActive(nowMs());
            if (isMatch
                    && node.getIndex()
                            < Math.ceil(fault.share() * node.getService().instances())) {
                return fault.strength();
            }
        }
        return fallback;
    }

    /** Returns the strength of the fault of a kind that affects callers now, or the fallback if there is none. */
    double toCallerFaultStrength(FaultKind kind, double fallback) {
        for (FaultSpec fault : scenario.faults()) {
            if (fault.kind() == kind && fault.isActive(nowMs()) && draw() < fault.share()) {
                return fault.strength();
            }
        }
        return fallback;
    }
}
