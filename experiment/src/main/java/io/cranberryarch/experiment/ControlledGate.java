package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionControl;
import io.cranberryarch.decision.admission.WaitingCall;
import java.util.HashMap;
import java.util.Map;

/** A gate that is decided by the product's own admission control. */
final class ControlledGate implements ModelGate {

    private static final long POLL_MICROS = 10_000;
    private static final long MICROS_PER_MS = 1_000;
    private static final String KIND = "request";

    private record Waiting(Runnable run, Runnable refuse) {}

    private final Simulation simulation;
    private final AdmissionControl control;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long nextId;
    private boolean isPollPending;

    ControlledGate(Simulation simulation, int slots) {
        this.simulation = simulation;
        this.control = new AdmissionControl(slots, simulation.nowMs());
    }

    @Override
    public void enter(ModelRequest request, long deadlineMicros, Runnable run, Runnable refuse) {
        long id = nextId++;
        waiting.put(id, new Waiting(run, refuse));
        control.enter(
                new WaitingCall(
                        id,
                        request.priority(),
                        request.account().name(),
                        KIND,
                        request.account().weight(),
                        request.level(),
                        deadlineMicros / MICROS_PER_MS),
                simulation.nowMs());
        poll();
    }

    @Override
    public void beginNested() {
        control.beginNested();
        poll();
    }

    @Override
    public void endNested() {
        control.endNested();
    }

    @Override
    public void exit(long durationMs, long ownMs, boolean isFailed) {
        control.exit(KIND, durationMs, ownMs, isFailed, simulation.nowMs());
        poll();
    }

    @Override
    public int toThreshold(ModelRequest request) {
        return control.toThreshold(request.account().name());
    }

    @Override
    public int getInFlight() {
        return control.getInFlight();
    }

    private void poll() {
        for (AdmissionControl.Outcome outcome : control.poll(simulation.nowMs())) {
            Waiting call = waiting.remove(outcome.id());
            if (outcome.verdict() == AdmissionControl.Verdict.RUN) {
                call.run().run();
            } else {
                call.refuse().run();
            }
        }
        if (control.hasWaiting() && !isPollPending) {
            isPollPending = true;
            simulation.after(POLL_MICROS, () -> {
                isPollPending = false;
                poll();
            });
        }
    }
}
