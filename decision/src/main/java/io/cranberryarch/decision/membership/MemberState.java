package io.cranberryarch.decision.membership;

/** The state of a member, in ascending order of precedence between records of one incarnation. */
public enum MemberState {
    /** Its upstream has not yet announced itself. */
    STARTING,
    /** Takes calls. */
    UP,
    /** Takes no new calls. */
    DRAINING,
    /** Gone. */
    GONE;

    /**
     * Checks whether new calls may be sent to a member in this state.
     *
     * @return whether it takes calls
     */
    public boolean isServing() {
        return this == UP;
    }
}
