package io.cranberryarch.decision.lease;

/** The way in which a holder acquired its lease, which limits what its predecessor may have done under it. */
public enum LeaseOrigin {
    /** The lease had no earlier holder. */
    FIRST(true),
    /** The predecessor released the lease and no longer acts under it. */
    RELEASED(true),
    /** The predecessor's process was replaced by this one at the same address. */
    REPLACED(false),
    /** The lease of the predecessor expired; the predecessor may have acted under it until then. */
    EXPIRED(false);

    private final boolean clean;

    LeaseOrigin(boolean clean) {
        this.clean = clean;
    }

    /**
     * Returns whether the lease had no earlier holder or was released by it.
     *
     * @return whether no state can have been lost at the change of holders
     */
    public boolean isClean() {
        return clean;
    }
}
