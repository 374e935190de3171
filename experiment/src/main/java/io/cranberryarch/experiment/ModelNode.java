package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.decision.admission.CallerThresholds;
import java.util.HashMap;
import java.util.Map;

/** The outgoing side of a node, which selects instances and holds the admission thresholds of services. */
final class ModelNode {

    private static final String KIND = "request";

    private final Simulation simulation;
    private final boolean isShedding;
    private final CallerThresholds thresholds = new CallerThresholds();
    private final Map<ModelInstance, Integer> inFlightByInstance = new HashMap<>();

    ModelNode(Simulation simulation, boolean isShedding) {
        this.simulation = simulation;
        this.isShedding = isShedding;
    }

    int toThreshold(String service, ModelRequest request) {
        return isShedding ? thresholds.toThreshold(toKey(service, request), simulation.nowMs()) : AdmissionLevel.LEVELS;
    }

    ModelInstance pick(ModelService service) {
        ModelInstance first = service.pick(simulation.random().nextInt());
        ModelInstance second = service.pick(simulation.random().nextInt());
        return inFlightByInstance.getOrDefault(second, 0) < inFlightByInstance.getOrDefault(first, 0) ? second : first;
    }

    void onAnswer(String service, ModelInstance instance, ModelRequest request, ModelAnswer answer) {
        inFlightByInstance.put(instance, instance.getInFlight());
        thresholds.update(toKey(service, request), answer.threshold(), simulation.nowMs());
    }

    private static CallerThresholds.Key toKey(String service, ModelRequest request) {
        return new CallerThresholds.Key(service, KIND, request.account().name());
    }
}
