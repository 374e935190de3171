package io.cranberryarch.decision.serving;

/** How one send of a request to an instance ended, and whether the request may be sent again because of it. */
public enum SendOutcome {

    /** The upstream answered, and not with a server error. */
    SERVED(false, false),

    /** The node of the instance refused the request before its upstream received it. */
    REFUSED(true, false),

    /** The upstream stated that it did not run the request. */
    REJECTED(true, true),

    /** The upstream answered with a server error of its own. */
    FAILED(false, true),

    /** The upstream answered with a server error after the service of a nested call had failed or refused the call. */
    NESTED_CALL_FAILED(false, true),

    /** It is not known whether the request ran, as its answer was lost. */
    LOST(false, true);

    private final boolean isNotRun;
    private final boolean isLimitedByBudget;

    SendOutcome(boolean isNotRun, boolean isLimitedByBudget) {
        this.isNotRun = isNotRun;
        this.isLimitedByBudget = isLimitedByBudget;
    }

    /**
     * Returns whether the request certainly did not run.
     *
     * @return whether it did not run
     */
    public boolean isNotRun() {
        return isNotRun;
    }

    /**
     * Returns whether sending the request again takes a repeat of the service's budget, since the upstream may have
     * received it.
     *
     * @return whether it counts as a repeat
     */
    public boolean isLimitedByBudget() {
        return isLimitedByBudget;
    }

    /**
     * Returns whether the request may be sent to another instance.
     *
     * @param isIdempotent whether the request may run more than once
     * @param isNested whether the request is a call of an upstream
     * @return whether a further send is safe and useful
     */
    public boolean isRepeatable(boolean isIdempotent, boolean isNested) {
        // A failed nested call has been repeated at its own node as far as the budget permits. A repeat of the run
        // makes
        // all its calls again, and so takes several repeats of the budget that the call was lacking.
        if (this == SERVED || this == NESTED_CALL_FAILED || (!isIdempotent && !isNotRun)) {
            return false;
        }
        // A failed run at the root has used the work of its whole call tree; a repeat is left to the caller.
        return this != FAILED || isNested;
    }
}
