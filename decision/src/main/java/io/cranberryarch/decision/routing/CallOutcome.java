package io.cranberryarch.decision.routing;

/** What a caller observed of one attempt at an instance. */
public enum CallOutcome {
    /** A whole answer that is no error of the upstream. */
    ANSWERED(false, false),
    /** The gate had no room. */
    OVERLOADED(false, true),
    /** The upstream failed or did not answer in time. */
    FAILED(true, false),
    /** The instance could not be reached, or its connection was lost. */
    UNREACHABLE(true, false),
    /** The attempt says nothing about the instance. */
    IRRELEVANT(false, false);

    private final boolean isFailure;
    private final boolean isBusy;

    CallOutcome(boolean isFailure, boolean isBusy) {
        this.isFailure = isFailure;
        this.isBusy = isBusy;
    }

    /**
     * Checks whether the instance is to blame.
     *
     * @return whether the outcome counts towards ejection
     */
    public boolean isFailure() {
        return isFailure;
    }

    /**
     * Checks whether the instance had no room.
     *
     * @return whether it is to be taken for full
     */
    public boolean isBusy() {
        return isBusy;
    }
}
