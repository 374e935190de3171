package io.cranberryarch.experiment;

/** The overload control of a simulation. */
public enum Policy {
    /** No control: all calls run, and each hop has its own timeout and one retry. */
    NONE(2, false) {
        @Override
        ModelGate createGate(Simulation simulation, int slots) {
            return new FixedLimitGate(Integer.MAX_VALUE);
        }
    },
    /** A fixed limit at each gate, equal to the slots; each hop has its own timeout and one retry. */
    FIXED_LIMIT(2, false) {
        @Override
        ModelGate createGate(Simulation simulation, int slots) {
            return new FixedLimitGate(slots);
        }
    },
    /** The product's admission control, with a deadline for the whole request and no retries between services. */
    CRANBERRYARCH(1, true) {
        @Override
        ModelGate createGate(Simulation simulation, int slots) {
            return new ControlledGate(simulation, slots);
        }
    };

    private static final long HOP_TIMEOUT_MICROS = 1_000_000;

    private final int attemptLimit;
    private final boolean isControlled;

    Policy(int attemptLimit, boolean isControlled) {
        this.attemptLimit = attemptLimit;
        this.isControlled = isControlled;
    }

    abstract ModelGate createGate(Simulation simulation, int slots);

    int getAttemptLimit() {
        return attemptLimit;
    }

    boolean isShedding() {
        return isControlled;
    }

    boolean hasDeadlines() {
        return isControlled;
    }

    /** Returns the time at which an attempt ends: at its own timeout, or at the deadline of the whole request. */
    long toAttemptDeadline(Simulation simulation, long deadlineMicros) {
        return isControlled ? deadlineMicros : simulation.nowMicros() + HOP_TIMEOUT_MICROS;
    }
}
