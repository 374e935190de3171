package io.cranberryarch.decision.membership;

/** The state of a member, in ascending order of precedence between records of one incarnation and sequence. */
public enum MemberState {
    /** Its upstream has not yet announced itself. */
    STARTING(true),
    /** Takes calls. */
    UP(true),
    /** Takes no new calls. */
    DRAINING(true),
    /** Did not answer probes; it is taken for gone unless it contradicts in time. */
    SUSPECT(true),
    /** Gone. */
    GONE(false);

    private final boolean isLive;

    MemberState(boolean isLive) {
        this.isLive = isLive;
    }

    /**
     * Checks whether new calls may be sent to a member in this state.
     *
     * @return whether it takes calls
     */
    public boolean isServing() {
        return this == UP;
    }

    /**
     * Checks whether a member in this state takes part in the exchange of records.
     *
     * @return whether it is not known to be gone
     */
    public boolean isLive() {
        return isLive;
    }
}
