package io.cranberryarch.decision.lease;

/** How a holder obtained its lease, which determines what a predecessor may still have done under it. */
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
     * Checks whether the lease had no predecessor or was released by it.
     *
     * @return whether no state can have been lost at the change of holders
     */
    public boolean isClean() {
        return clean;
    }
}
