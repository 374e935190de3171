package io.cranberryarch.experiment;

import io.cranberryarch.decision.admission.AdmissionLevel;

/** A gate with a fixed number of calls at once, without a queue. */
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
        // a nested call changes nothing here
    }

    @Override
    public void endNested() {
        // a nested call changes nothing here
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
