package io.cranberryarch.api;

import java.util.Locale;

/** How a caller's request ended, as the report counts it. Each outcome knows what it means for the caller. */
public enum Outcome {
    /** The caller got the whole answer of the upstream. */
    OK(false, true),
    /** The upstream answered that it failed. */
    UPSTREAM_ERROR(false, true),
    /** Refused because the client account was above its rate. */
    OVER_RATE(true, true),
    /** Refused within the rate because of overload; not run. */
    SHED(true, true),
    /** Refused within the rate for another reason than overload; not run. */
    UNAVAILABLE(true, true),
    /** The request may have run, its answer is lost. */
    UNKNOWN(false, true),
    /** The request itself was wrong, or came without a valid key. */
    CLIENT_ERROR(false, false);

    private final boolean refusal;
    private final boolean served;

    Outcome(boolean refusal, boolean served) {
        this.refusal = refusal;
        this.served = served;
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
     * Checks whether the request counts in a share of whole answers: within the rate, and not the caller's mistake.
     *
     * @return whether it counts
     */
    public boolean isSuccessExpected() {
        return served && this != OVER_RATE;
    }

    /**
     * Gets the name used on pages.
     *
     * @return the lower-case name with hyphens
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
