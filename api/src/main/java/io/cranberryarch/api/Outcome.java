package io.cranberryarch.api;

import java.util.Locale;

/** The outcome of a caller's request, as counted in the report. */
public enum Outcome {
    /** The caller received the complete answer of the upstream. */
    OK(false, true),
    /** The upstream answered with an error. */
    UPSTREAM_ERROR(false, true),
    /** Refused because the client account was above its rate. */
    OVER_RATE(true, true),
    /** Refused within the rate because of overload; not run. */
    SHED(true, true),
    /** Refused within the rate for another reason than overload; not run. */
    UNAVAILABLE(true, true),
    /** The request may have run, but its answer was lost. */
    UNKNOWN(false, true),
    /** The request was invalid or had no valid key. */
    CLIENT_ERROR(false, false);

    private final boolean refusal;
    private final boolean valid;

    Outcome(boolean refusal, boolean valid) {
        this.refusal = refusal;
        this.valid = valid;
    }

    /**
     * Checks whether the request was refused and not run.
     *
     * @return whether it was refused
     */
    public boolean isRefusal() {
        return refusal;
    }

    /**
     * Checks whether the request was refused although its client account was within its rate.
     *
     * @return whether it was refused for a reason other than the rate
     */
    public boolean isRefusalWithinRate() {
        return refusal && this != OVER_RATE;
    }

    /**
     * Checks whether the request counts in the success ratio: it was valid, and its client account was within its rate.
     *
     * @return whether it counts in the success ratio
     */
    public boolean isSuccessExpected() {
        return valid && this != OVER_RATE;
    }

    /**
     * Returns the name used in reports.
     *
     * @return the lower-case name with hyphens
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
