package io.cranberryarch.decision.membership;

/** The state of a member, in ascending order of precedence between records of one incarnation and sequence. */
public enum MemberState {
    /** The upstream of the member has not yet announced itself. */
    STARTING(true),
    /** Accepts calls. */
    UP(true),
    /** Accepts no new calls. */
    DRAINING(true),
    /** Did not answer probes; it is declared gone unless it refutes the suspicion in time. */
    SUSPECT(true),
    /** Stopped, or did not refute the suspicion in time. */
    GONE(false);

    private final boolean isLive;

    MemberState(boolean isLive) {
        this.isLive = isLive;
    }

    /**
     * Checks whether new calls may be sent to a member in this state.
     *
     * @return whether it accepts calls
     */
    public boolean isServing() {
        return this == UP;
    }

    /**
     * Checks whether a member in this state participates in the exchange of records.
     *
     * @return whether it is not gone
     */
    public boolean isLive() {
        return isLive;
    }
}
