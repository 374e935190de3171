package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionControl;
import io.cranberryarch.decision.admission.WaitingCall;
import java.util.HashMap;
import java.util.Map;

/** A gate that uses the product's admission control. */
final class ControlledGate implements ModelGate {

    private static final long POLL_INTERVAL_MICROS = 10_000;
    private static final long MICROS_PER_MS = 1_000;
    private static final String KIND = "request";

    private record Callbacks(Runnable run, Runnable refuse) {}

    private final Simulation simulation;
    private final AdmissionControl control;
    private final Map<Long, Callbacks> callbacksById = new HashMap<>();
    private long nextId;
    private boolean isPollPending;

    ControlledGate(Simulation simulation, int slots) {
        this.simulation = simulation;
        this.control = new AdmissionControl(slots, simulation.nowMs());
    }

    @Override
    public void enter(ModelRequest request, long deadlineMicros, Runnable run, Runnable refuse) {
        long id = nextId++;
        callbacksById.put(id, new Callbacks(run, refuse));
        control.enter(
                new WaitingCall(
                        id,
                        request.priority(),
                        request.account().name(),
                        KIND,
                        request.account().weight(),
                        request.level(),
                        request.isNested(),
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
            Callbacks callbacks = callbacksById.remove(outcome.id());
            if (outcome.verdict() == AdmissionControl.Verdict.RUN) {
                callbacks.run().run();
            } else {
                callbacks.refuse().run();
            }
        }
        if (control.hasWaiting() && !isPollPending) {
            isPollPending = true;
            simulation.after(POLL_INTERVAL_MICROS, () -> {
                isPollPending = false;
                poll();
            });
        }
    }
}
