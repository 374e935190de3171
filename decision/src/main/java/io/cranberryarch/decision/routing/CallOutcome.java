package io.cranberryarch.decision.routing;

/** The outcome of one attempt at an instance as observed by the caller. */
public enum CallOutcome {
    /** A complete answer that is not an error of the upstream. */
    ANSWERED(false, false),
    /** The gate had no capacity. */
    OVERLOADED(false, true),
    /** The upstream failed or did not answer in time. */
    FAILED(true, false),
    /** The instance could not be reached, or its connection was lost. */
    UNREACHABLE(true, false),
    /** The attempt provides no information about the instance. */
    IRRELEVANT(false, false);

    private final boolean isFailure;
    private final boolean isBusy;

    CallOutcome(boolean isFailure, boolean isBusy) {
        this.isFailure = isFailure;
        this.isBusy = isBusy;
    }

    /**
     * Returns whether the instance caused a failure.
     *
     * @return whether the outcome counts towards ejection
     */
    public boolean isFailure() {
        return isFailure;
    }

    /**
     * Returns whether the instance had no capacity.
     *
     * @return whether the instance is recorded as fully loaded
     */
    public boolean isBusy() {
        return isBusy;
    }
}
