package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;

/** A gate with a fixed limit of concurrent calls and without a queue. */
final class FixedLimitGate implements ModelGate {

    private final int limit;
    private int inFlight;

    FixedLimitGate(int limit) {
        this.limit = limit;
    }

    @Override
    public void enter(ModelRequest request, long deadlineMicros, Runnable run, Runnable refuse) {
        if (inFlight >= limit) {
            refuse.run();
            return;
        }
        inFlight++;
        run.run();
    }

    @Override
    public void beginNested() {
        // A call that waits for a nested call still counts against the limit.
    }

    @Override
    public void endNested() {
        // A call that waits for a nested call still counts against the limit.
    }

    @Override
    public void exit(long durationMs, long ownMs, boolean isFailed) {
        inFlight--;
    }

    @Override
    public int toThreshold(ModelRequest request) {
        return AdmissionLevel.LEVELS;
    }

    @Override
    public int getInFlight() {
        return inFlight;
    }
}
