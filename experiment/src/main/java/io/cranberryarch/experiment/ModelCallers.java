package io.cranberryarch.experiment;

import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.List;

/** Callers that send at fixed mean rates and retry failed requests several times after short backoffs. */
final class ModelCallers {

    private static final int ENTRY_NODES = 4;
    private static final int MAX_ATTEMPTS = 4;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final long MIN_BACKOFF_MICROS = 10_000;
    private static final long BACKOFF_JITTER_MICROS = 40_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Simulation simulation;
    private final Scenario scenario;
    private final CallGraph graph;
    private final RunResults results;
    private final List<ModelNode> entries = new ArrayList<>();

    ModelCallers(CallGraph graph, RunResults results) {
        this.graph = graph;
        this.simulation = graph.getSimulation();
        this.scenario = graph.getScenario();
        this.results = results;
        for (int i = 0; i < ENTRY_NODES; i++) {
            entries.add(new ModelNode(simulation, graph.getPolicy().isShedding()));
        }
    }

    void start() {
        scenario.accounts().forEach(this::scheduleNext);
    }

    private void scheduleNext(AccountSpec account) {
        double rate = scenario.toRate(account, simulation.nowMs());
        simulation.after(simulation.nextExponential(MICROS_PER_SECOND / rate), () -> {
            Priority priority = scenario.prioritized() ? nextPriority() : Priority.NORMAL;
            results.addRequest(account, priority, simulation.nowMs());
            attempt(account, priority, MAX_ATTEMPTS);
            scheduleNext(account);
        });
    }

    private Priority nextPriority() {
        int percent = simulation.random().nextInt(100);
        if (percent < 10) {
            return Priority.CRITICAL;
        }
        if (percent < 30) {
            return Priority.HIGH;
        }
        return percent < 70 ? Priority.NORMAL : Priority.LOW;
    }

    private void attempt(AccountSpec account, Priority priority, int remainingAttempts) {
        int level = CallGraph.toLevel(priority, simulation.random().nextLong());
        ModelRequest request = new ModelRequest(account, priority, level, false);
        ModelNode entry = entries.get(simulation.random().nextInt(ENTRY_NODES));
        long deadlineMicros = simulation.nowMicros() + TIMEOUT_MICROS;
        graph.callOnce(entry, request, deadlineMicros, answer -> {
            if (answer.isOk() && simulation.nowMicros() <= deadlineMicros) {
                results.addSuccess(account, priority, simulation.nowMs());
            } else if (remainingAttempts > 1) {
                long backoffMicros = MIN_BACKOFF_MICROS + simulation.random().nextLong(BACKOFF_JITTER_MICROS);
                simulation.after(backoffMicros, () -> attempt(account, priority, remainingAttempts - 1));
            }
        });
    }
}
