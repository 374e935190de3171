package io.cranberryarch.experiment;

/** How a run is controlled. */
public enum Policy {
    /** No control: all calls run, each hop has a timeout of its own and one retry. */
    NONE(2, false) {
        @Override
        ModelGate toGate(Simulation simulation, int slots) {
            return new FixedLimitGate(Integer.MAX_VALUE);
        }
    },
    /** A fixed limit of the slots at each gate, each hop has a timeout of its own and one retry. */
    FIXED_LIMIT(2, false) {
        @Override
        ModelGate toGate(Simulation simulation, int slots) {
            return new FixedLimitGate(slots);
        }
    },
    /** The product's decisions. */
    CRANBERRYARCH(1, true) {
        @Override
        ModelGate toGate(Simulation simulation, int slots) {
            return new ControlledGate(simulation, slots);
        }
    };

    private static final long HOP_TIMEOUT_MICROS = 1_000_000;

    private final int attempts;
    private final boolean isControlled;

    Policy(int attempts, boolean isControlled) {
        this.attempts = attempts;
        this.isControlled = isControlled;
    }

    abstract ModelGate toGate(Simulation simulation, int slots);

    int getAttempts() {
        return attempts;
    }

    boolean isShedding() {
        return isControlled;
    }

    boolean hasDeadlines() {
        return isControlled;
    }

    /** The time at which an attempt ends: its own timeout, or the deadline of the whole request. */
    long toDeadline(Simulation simulation, long deadlineMicros) {
        return isControlled ? deadlineMicros : simulation.nowMicros() + HOP_TIMEOUT_MICROS;
    }
}
