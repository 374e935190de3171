package io.cranberryarch.decision.serving;

/**
 * Decides which share of new requests is refused at their entry while requests pile up at a service that they need. The
 * least important rank is refused first, and wholly before the next one is touched; inside a rank, new requests are
 * refused before those that were refused earlier and came back.
 *
 * <p>This corrects what {@link WorkDemand} lets in by its estimate. Waiting requests of a less important rank do not
 * delay the more important ones, so that these are refused only at a much longer queue.
 */
public final class LoadShedding {

    /** The load of a service, as busy requests by its limit, from which the least important rank is refused. */
    private static final double FIRST_LOAD = 1.2;

    /** The additional load over which a rank goes from no refusals to refusals only, half of it for new requests. */
    private static final double RANK_BAND = 0.4;

    /** The additional load from which the next more important rank is refused. */
    private static final double RANK_STEP = 1.0;

    private LoadShedding() {}

    /**
     * Gets the share of requests to refuse.
     *
     * @param load requests that run or wait at a service, by the sum of the limits of its instances
     * @param position the position of the rank among those in use, 0 for the most important
     * @param ranks the number of ranks in use, at least 1
     * @param isReturning whether the request was refused before and came back when it was told to
     * @return a share from 0 to 1
     */
    public static double toRefusedShare(double load, int position, int ranks, boolean isReturning) {
        double start = FIRST_LOAD + RANK_STEP * Math.max(0, ranks - 1 - position);
        double width = RANK_BAND / 2;
        return Math.max(0, Math.min(1, (load - start - (isReturning ? width : 0)) / width));
    }
}
