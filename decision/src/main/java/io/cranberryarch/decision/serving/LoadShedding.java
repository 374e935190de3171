package io.cranberryarch.decision.serving;

/**
 * Decides which share of new requests is refused at their entry while a service that they need is overloaded. The least
 * important rank is refused first, and wholly before the next one is touched.
 */
public final class LoadShedding {

    /** The load of a service, as busy requests by its limit, from which the least important rank is refused. */
    private static final double FIRST_LOAD = 0.82;

    /** The additional load over which a rank goes from no refusals to refusals only. */
    private static final double RANK_BAND = 0.18;

    private LoadShedding() {}

    /**
     * Gets the share of requests to refuse.
     *
     * @param load requests that run or wait at a service, by the sum of the limits of its instances
     * @param position the position of the rank among those in use, 0 for the most important
     * @param ranks the number of ranks in use, at least 1
     * @return a share from 0 to 1
     */
    public static double toRefusedShare(double load, int position, int ranks) {
        double start = FIRST_LOAD + RANK_BAND * Math.max(0, ranks - 1 - position);
        return Math.max(0, Math.min(1, (load - start) / RANK_BAND));
    }
}
