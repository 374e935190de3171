package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The services of a scenario, and the calls between them. */
final class CallGraph {

    private static final long NETWORK_MICROS = 1_500;

    private final Simulation simulation;
    private final Policy policy;
    private final Scenario scenario;
    private final List<ModelService> services = new ArrayList<>();

    CallGraph(Simulation simulation, Policy policy, Scenario scenario) {
        this.simulation = simulation;
        this.policy = policy;
        this.scenario = scenario;
        for (int i = 0; i < scenario.services().size(); i++) {
            services.add(new ModelService(scenario.services().get(i), i, this));
        }
    }

    Simulation getSimulation() {
        return simulation;
    }

    Policy getPolicy() {
        return policy;
    }

    Scenario getScenario() {
        return scenario;
    }

    /** Sends a call with the attempts that the policy allows, and gives the final answer. */
    void call(ModelNode from, int service, ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> done) {
        attempt(from, services.get(service), request, deadlineMicros, policy.getAttempts(), done);
    }

    /** Sends the call of a caller, who tries again on its own. */
    void callOnce(ModelNode from, ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> done) {
        attempt(from, services.get(0), request, deadlineMicros, 1, done);
    }

    private void attempt(
            ModelNode from,
            ModelService service,
            ModelRequest request,
            long deadlineMicros,
            int attempts,
            Consumer<ModelAnswer> done) {
        int threshold = from.toThreshold(service.getName(), request);
        if (request.level() >= threshold) {
            done.accept(new ModelAnswer(false, threshold));
            return;
        }
        Exchange exchange = new Exchange(answer -> {
            if (answer.isOk() || attempts <= 1) {
                done.accept(answer);
            } else {
                attempt(from, service, request, policy.toDeadline(simulation, deadlineMicros), attempts - 1, done);
            }
        });
        long limitMicros = policy.toDeadline(simulation, deadlineMicros);
        simulation.after(limitMicros - simulation.nowMicros(), () -> exchange.end(new ModelAnswer(false, threshold)));
        ModelInstance instance = from.pick(service);
        simulation.after(
                NETWORK_MICROS,
                () -> instance.receive(
                        request,
                        limitMicros,
                        answer -> simulation.after(NETWORK_MICROS, () -> {
                            from.onAnswer(service.getName(), instance, request, answer);
                            exchange.end(answer);
                        })));
    }

    /** One attempt, ended once, by its answer or its timeout. */
    private static final class Exchange {

        private final Consumer<ModelAnswer> done;
        private boolean isEnded;

        Exchange(Consumer<ModelAnswer> done) {
            this.done = done;
        }

        void end(ModelAnswer answer) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            done.accept(answer);
        }
    }

    static int toLevel(Priority priority, long requestId) {
        return AdmissionLevel.of(priority, Long.toHexString(requestId));
    }
}
