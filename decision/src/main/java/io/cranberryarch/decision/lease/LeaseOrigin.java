package io.cranberryarch.decision.lease;

/** How a lease came to its holder, which tells what a predecessor may still have done under it. */
public enum LeaseOrigin {
    /** Nobody held the lease before. */
    FIRST(true),
    /** The predecessor released it and acts no more under it. */
    RELEASED(true),
    /** The predecessor's process was replaced by this one at the same address. */
    REPLACED(false),
    /** The predecessor let it end; it may have acted until then. */
    EXPIRED(false);

    private final boolean clean;

    LeaseOrigin(boolean clean) {
        this.clean = clean;
    }

    /**
     * Checks whether no predecessor ended without saying so.
     *
     * @return whether nothing was lost at the change of holders
     */
    public boolean isClean() {
        return clean;
    }
}
