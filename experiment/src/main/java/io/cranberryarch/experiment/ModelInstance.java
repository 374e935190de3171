package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** An instance of the model: a gate, an upstream with workers and a queue before them, and nested calls. */
final class ModelInstance {

    private static final long MICROS_PER_MS = 1_000;

    private final ServiceSpec spec;
    private final int index;
    private final CallGraph graph;
    private final Simulation simulation;
    private final ModelGate gate;
    private final ModelNode node;
    private final Deque<Running> queue = new ArrayDeque<>();
    private int busy;

    ModelInstance(ServiceSpec spec, int index, CallGraph graph) {
        this.spec = spec;
        this.index = index;
        this.graph = graph;
        this.simulation = graph.getSimulation();
        this.gate = graph.getPolicy().toGate(simulation, spec.slots());
        this.node = new ModelNode(simulation, graph.getPolicy().isShedding());
    }

    int getInFlight() {
        return gate.getInFlight();
    }

    void receive(ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> answer) {
        Running running = new Running(request, deadlineMicros, answer);
        gate.enter(request, deadlineMicros, running::start, running::refuse);
    }

    private void startNext() {
        while (busy < spec.workers() && !queue.isEmpty()) {
            Running next = queue.removeFirst();
            if (graph.getPolicy().hasDeadlines() && next.deadlineMicros <= simulation.nowMicros()) {
                next.finish(false, true);
                continue;
            }
            busy++;
            double slow = graph.getScenario().toSlowFactor(index, simulation.nowMs());
            simulation.after(simulation.toExponential(spec.workMicros() * slow), () -> {
                busy--;
                next.callNested(0);
                startNext();
            });
        }
    }

    /** A call at this instance. */
    private final class Running {

        private final ModelRequest request;
        private final long deadlineMicros;
        private final Consumer<ModelAnswer> answer;
        private int lowest = AdmissionLevel.LEVELS;
        private long startMicros;
        private long nestedMicros;

        Running(ModelRequest request, long deadlineMicros, Consumer<ModelAnswer> answer) {
            this.request = request;
            this.deadlineMicros = deadlineMicros;
            this.answer = answer;
        }

        void start() {
            startMicros = simulation.nowMicros();
            queue.addLast(this);
            startNext();
        }

        void refuse() {
            answer.accept(new ModelAnswer(false, gate.toThreshold(request)));
        }

        void callNested(int child) {
            if (child >= spec.children().size()) {
                finish(true, false);
                return;
            }
            long beginMicros = simulation.nowMicros();
            gate.beginNested();
            graph.call(node, spec.children().get(child), request, deadlineMicros, result -> {
                gate.endNested();
                nestedMicros += simulation.nowMicros() - beginMicros;
                lowest = Math.min(lowest, result.threshold());
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
            answer.accept(new ModelAnswer(isOk, Math.min(lowest, gate.toThreshold(request))));
        }
    }
}
