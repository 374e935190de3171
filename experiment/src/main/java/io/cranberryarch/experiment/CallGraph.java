package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The services of a scenario and the calls between them. */
final class CallGraph {

    private static final long NETWORK_DELAY_MICROS = 1_500;

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

    /** Sends a call, with as many attempts as the policy allows, and passes on the final answer. */
    void call(ModelNode from, int service, ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> callback) {
        attempt(from, services.get(service), request, deadlineMicros, policy.getAttemptLimit(), callback);
    }

    /** Sends a single attempt of a caller, which retries on its own. */
    void callOnce(ModelNode from, ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> callback) {
        attempt(from, services.get(0), request, deadlineMicros, 1, callback);
    }

    private void attempt(
            ModelNode from,
            ModelService service,
            ModelRequest request,
            long deadlineMicros,
            int remainingAttempts,
            Consumer<ModelAnswer> callback) {
        int threshold = from.toThreshold(service.getName(), request);
        if (AdmissionLevel.isRefused(request.level(), threshold, request.isNested())) {
            callback.accept(new ModelAnswer(false, threshold));
            return;
        }
        Exchange exchange = new Exchange(answer -> {
            if (answer.isOk() || remainingAttempts <= 1) {
                callback.accept(answer);
            } else {
                attempt(
                        from,
                        service,
                        request,
                        policy.toAttemptDeadline(simulation, deadlineMicros),
                        remainingAttempts - 1,
                        callback);
            }
        });
        long attemptDeadlineMicros = policy.toAttemptDeadline(simulation, deadlineMicros);
        simulation.after(
                attemptDeadlineMicros - simulation.nowMicros(),
                () -> exchange.complete(new ModelAnswer(false, threshold)));
        ModelInstance instance = from.pick(service);
        simulation.after(
                NETWORK_DELAY_MICROS,
                () -> instance.receive(
                        request,
                        attemptDeadlineMicros,
                        answer -> simulation.after(NETWORK_DELAY_MICROS, () -> {
                            from.onAnswer(service.getName(), instance, request, answer);
                            exchange.complete(answer);
                        })));
    }

    /** An attempt, which completes once, either with its answer or with its timeout. */
    private static final class Exchange {

        private final Consumer<ModelAnswer> callback;
        private boolean isComplete;

        Exchange(Consumer<ModelAnswer> callback) {
            this.callback = callback;
        }

        void complete(ModelAnswer answer) {
            if (isComplete) {
                return;
            }
            isComplete = true;
            callback.accept(answer);
        }
    }

    static int toLevel(Priority priority, long requestId) {
        return AdmissionLevel.of(priority, Long.toHexString(requestId));
    }
}
