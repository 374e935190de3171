package io.cranberryarch.decision.admission;

/**
 * Bounds the calls that an upstream runs at once. Not thread-safe.
 *
 * <pre>
 * if (limit.tryEnter()) {
 *     // run the call, then
 *     limit.exit();
 * }
 * </pre>
 */
public final class AdmissionLimit {

    private final int limit;
    private int inFlight;

    /**
     * Creates a limit.
     *
     * @param limit the most calls at once, positive
     */
    public AdmissionLimit(int limit) {
        this.limit = limit;
    }

    /**
     * Admits a call if there is room.
     *
     * @return whether the call was admitted
     */
    public boolean tryEnter() {
        if (inFlight >= limit) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** Ends an admitted call. */
    public void exit() {
        inFlight--;
    }

    /**
     * Gets the calls that run now.
     *
     * @return the number of calls
     */
    public int getInFlight() {
        return inFlight;
    }

    /**
     * Gets the limit.
     *
     * @return the most calls at once
     */
    public int getLimit() {
        return limit;
    }
}
