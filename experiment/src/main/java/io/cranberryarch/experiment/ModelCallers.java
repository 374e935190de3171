package io.cranberryarch.experiment;

import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.List;

/** ModelCallers that send at fixed mean rates and try again soon and often when a request fails. */
final class ModelCallers {

    private static final int ENTRIES = 4;
    private static final int ATTEMPTS = 4;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final long MIN_PAUSE_MICROS = 10_000;
    private static final long PAUSE_SPREAD_MICROS = 40_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Simulation simulation;
    private final Scenario scenario;
    private final CallGraph graph;
    private final RunResults outcomes;
    private final List<ModelNode> entries = new ArrayList<>();

    ModelCallers(CallGraph graph, RunResults outcomes) {
        this.graph = graph;
        this.simulation = graph.getSimulation();
        this.scenario = graph.getScenario();
        this.outcomes = outcomes;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new ModelNode(simulation, graph.getPolicy().isShedding()));
        }
    }

    void start() {
        scenario.accounts().forEach(this::scheduleNext);
    }

    private void scheduleNext(AccountSpec account) {
        double rate = scenario.toRate(account, simulation.nowMs());
        simulation.after(simulation.toExponential(MICROS_PER_SECOND / rate), () -> {
            Priority priority = scenario.prioritized() ? toPriority() : Priority.NORMAL;
            outcomes.addRequest(account, priority, simulation.nowMs());
            attempt(account, priority, ATTEMPTS);
            scheduleNext(account);
        });
    }

    private Priority toPriority() {
        int percent = simulation.random().nextInt(100);
        if (percent < 10) {
            return Priority.CRITICAL;
        }
        if (percent < 30) {
            return Priority.HIGH;
        }
        return percent < 70 ? Priority.NORMAL : Priority.LOW;
    }

    private void attempt(AccountSpec account, Priority priority, int attempts) {
        int level = CallGraph.toLevel(priority, simulation.random().nextLong());
        ModelRequest request = new ModelRequest(account, priority, level, false);
        ModelNode entry = entries.get(simulation.random().nextInt(ENTRIES));
        long deadlineMicros = simulation.nowMicros() + TIMEOUT_MICROS;
        graph.callOnce(entry, request, deadlineMicros, answer -> {
            if (answer.isOk() && simulation.nowMicros() <= deadlineMicros) {
                outcomes.addSuccess(account, priority, simulation.nowMs());
            } else if (attempts > 1) {
                long pauseMicros = MIN_PAUSE_MICROS + simulation.random().nextLong(PAUSE_SPREAD_MICROS);
                simulation.after(pauseMicros, () -> attempt(account, priority, attempts - 1));
            }
        });
    }
}
