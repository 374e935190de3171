package io.cranberryarch.experiment.serving;

import io.cranberryarch.decision.serving.FailureRatio;
import io.cranberryarch.decision.serving.FleetView;
import io.cranberryarch.decision.serving.InstanceLoad;
import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.decision.serving.LatencyEstimate;
import io.cranberryarch.decision.serving.OverloadDetector;
import io.cranberryarch.decision.serving.RepeatBudget;
import io.cranberryarch.decision.serving.RetryAfterTracker;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.decision.serving.SlotScheduler;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.experiment.serving.ServingScenario.ServiceSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A node beside an instance: the state of its decisions, and its knowledge of the other nodes. */
final class ModelNode implements FleetView {

    private final ModelFleet fleet;
    private final ServiceSpec service;
    private final int index;
    private final int zone;
    private final double speed;
    private final SlotScheduler<ModelRun> scheduler = new SlotScheduler<>();
    private final FailureRatio failures = FailureRatio.ofUpstream();
    private final RouteCosts costs = new RouteCosts();
    private final WorkDemand demand = new WorkDemand();
    private final OverloadDetector detector = new OverloadDetector(this, costs, demand);
    private final RetryAfterTracker retryAfterTracker = new RetryAfterTracker();
    private final Map<String, RepeatBudget> budgets = new HashMap<>();
    private final Map<String, LatencyEstimate> latencies = new HashMap<>();
    private final Map<ModelNode, Candidate> candidates = new LinkedHashMap<>();

    ModelNode(ModelFleet fleet, ServiceSpec service, int index, double speed) {
        this.fleet = fleet;
        this.service = service;
        this.index = index;
        this.zone = index % fleet.getScenario().fleet().zones();
        this.speed = speed;
    }

    void connect(List<ModelNode> nodes) {
        nodes.forEach(node -> candidates.put(node, new Candidate(node)));
    }

    /** Reports the load and the demand of this node to all other nodes. */
    void reportStatus() {
        long nowMs = fleet.nowMs();
        Map<String, Double> changes = demand.report(nowMs);
        for (ModelNode node : fleet.getNodes()) {
            Candidate self = node.candidates.get(this);
            self.workDemand.putAll(changes);
            self.load.onReport(getLimit(), countInFlight(), getFailureRatio());
        }
    }

    @Override
    public void forEachInstance(String name, Consumer<InstanceLoad> consumer) {
        refreshOwnLoad();
        for (Candidate candidate : candidates.values()) {
            if (candidate.node.service.name().equals(name)) {
                consumer.accept(candidate.load);
            }
        }
    }

    @Override
    public void forEachPeerDemand(Consumer<Map<String, Double>> consumer) {
        for (Candidate candidate : candidates.values()) {
            if (candidate.node != this) {
                consumer.accept(candidate.workDemand);
            }
        }
    }

    /** Returns the instances of a service that were not tried yet, local ones or those of other zones. */
    List<Candidate> findCandidates(String name, boolean isLocal, List<ModelNode> tried) {
        refreshOwnLoad();
        boolean isZoneKept = fleet.uses(Mechanism.ZONE_PREFERENCE);
        List<Candidate> found = new ArrayList<>();
        for (Candidate candidate : candidates.values()) {
            boolean isSameZone = !isZoneKept || candidate.node.zone == zone;
            if (candidate.node.service.name().equals(name)
                    && isSameZone == isLocal
                    && !tried.contains(candidate.node)) {
                found.add(candidate);
            }
        }
        return found;
    }

    private void refreshOwnLoad() {
        candidates.get(this).load.onReport(getLimit(), countInFlight(), getFailureRatio());
    }

    int getLimit() {
        return SlotScheduler.toLimit(service.slots());
    }

    int countInFlight() {
        return scheduler.countRunning() + scheduler.countWaiting();
    }

    double getFailureRatio() {
        return fleet.uses(Mechanism.FAILURE_RATIO) ? failures.get(fleet.nowMs()) : 0;
    }

    void recordOutcome(boolean isFailed) {
        failures.record(isFailed, fleet.nowMs());
    }

    RepeatBudget getBudget(String name) {
        return budgets.computeIfAbsent(
                name,
                unused -> new RepeatBudget(
                        fleet.getScenario().fleet().repeatRatio(),
                        fleet.getScenario().fleet().repeatSlack()));
    }

    LatencyEstimate getLatency(ModelRequest request) {
        String key = request.spec().service() + (request.isNested() ? "/nested/" : "/") + request.rootRoute();
        return latencies.computeIfAbsent(key, unused -> new LatencyEstimate());
    }

    ModelFleet getFleet() {
        return fleet;
    }

    ServiceSpec getService() {
        return service;
    }

    /** Returns the number of this instance within its service, from 0. */
    int getIndex() {
        return index;
    }

    int getZone() {
        return zone;
    }

    double getSpeed() {
        return speed;
    }

    SlotScheduler<ModelRun> getScheduler() {
        return scheduler;
    }

    RouteCosts getCosts() {
        return costs;
    }

    OverloadDetector getDetector() {
        return detector;
    }

    RetryAfterTracker getRetryAfterTracker() {
        return retryAfterTracker;
    }

    /** Another node, or this one, as known to this node. */
    static final class Candidate implements InstanceSelector.Candidate {

        private final ModelNode node;
        private final InstanceLoad load = new InstanceLoad();
        private final Map<String, Double> workDemand = new HashMap<>();

        private Candidate(ModelNode node) {
            this.node = node;
            load.onReport(node.getLimit(), 0, 0);
        }

        ModelNode getNode() {
            return node;
        }

        @Override
        public InstanceLoad getLoad() {
            return load;
        }
    }
}
