package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** An instance of the model, with a gate, an upstream with workers and a queue, and nested calls. */
final class ModelInstance {

    private static final long MICROS_PER_MS = 1_000;

    private final ServiceSpec spec;
    private final int index;
    private final CallGraph graph;
    private final Simulation simulation;
    private final ModelGate gate;
    private final ModelNode node;
    private final Deque<RunningCall> queue = new ArrayDeque<>();
    private int busyWorkers;

    ModelInstance(ServiceSpec spec, int index, CallGraph graph) {
        this.spec = spec;
        this.index = index;
        this.graph = graph;
        this.simulation = graph.getSimulation();
        this.gate = graph.getPolicy().createGate(simulation, spec.slots());
        this.node = new ModelNode(simulation, graph.getPolicy().isShedding());
    }

    int getInFlight() {
        return gate.getInFlight();
    }

    void receive(ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> callback) {
        RunningCall call = new RunningCall(request, deadlineMicros, callback);
        gate.enter(request, deadlineMicros, call::start, call::refuse);
    }

    private void startNext() {
        while (busyWorkers < spec.workers() && !queue.isEmpty()) {
            RunningCall next = queue.removeFirst();
            if (graph.getPolicy().hasDeadlines() && next.deadlineMicros <= simulation.nowMicros()) {
                next.finish(false, true);
                continue;
            }
            busyWorkers++;
            double slowdownFactor = graph.getScenario().toSlowdownFactor(index, simulation.nowMs());
            simulation.after(simulation.nextExponential(spec.workMicros() * slowdownFactor), () -> {
                busyWorkers--;
                next.callNested(0);
                startNext();
            });
        }
    }

    /** A call at this instance. */
    private final class RunningCall {

        private final ModelRequest request;
        private final long deadlineMicros;
        private final Consumer<ModelAnswer> callback;
        private int lowestThreshold = AdmissionLevel.LEVELS;
        private long startMicros;
        private long nestedMicros;

        RunningCall(ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> callback) {
            this.request = request;
            this.deadlineMicros = deadlineMicros;
            this.callback = callback;
        }

        void start() {
            startMicros = simulation.nowMicros();
            queue.addLast(this);
            startNext();
        }

        void refuse() {
            callback.accept(new ModelAnswer(false, gate.toThreshold(request)));
        }

        void callNested(int child) {
            if (child >= spec.children().size()) {
                finish(true, false);
                return;
            }
            long nestedStartMicros = simulation.nowMicros();
            gate.beginNested();
            graph.call(node, spec.children().get(child), request.toNested(), deadlineMicros, result -> {
                gate.endNested();
                nestedMicros += simulation.nowMicros() - nestedStartMicros;
                lowestThreshold = Math.min(lowestThreshold, result.threshold());
                if (result.isOk()) {
                    callNested(child + 1);
                } else {
                    finish(false, false);
                }
            });
        }

        void finish(boolean isOk, boolean isFailed) {
            long durationMicros = simulation.nowMicros() - startMicros;
            long ownMicros = durationMicros - nestedMicros;
            gate.exit(durationMicros / MICROS_PER_MS, ownMicros / MICROS_PER_MS, isFailed);
            callback.accept(new ModelAnswer(isOk, Math.min(lowestThreshold, gate.toThreshold(request))));
        }
    }
}
