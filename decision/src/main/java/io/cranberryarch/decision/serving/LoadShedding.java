package io.cranberryarch.decision.serving;

/**
 * Computes the ratio of new requests that are refused at their entry while a service that they need is overloaded. The
 * least important rank is refused first, and completely before any of the next rank is refused; within a rank, new
 * requests are refused before those that return after an earlier refusal.
 *
 * <p>This corrects admissions that are based on the estimate of {@link WorkDemand}. Waiting requests of a less
 * important rank do not delay more important ones, which are therefore refused only at a much longer queue.
 */
public final class LoadShedding {

    /**
     * The load of a service, as the ratio of requests in flight to its limit, above which the least important rank is
     * refused.
     */
    private static final double MIN_SHED_LOAD_RATIO = 1.2;

    /**
     * The additional load over which the refusals of a rank rise from none to all, half of it for new requests. A steep
     * rise makes the load oscillate, as it reaches the entries with a delay.
     */
    private static final double RANK_LOAD_RANGE_RATIO = 1.0;

    /** The additional load above which the next more important rank is refused. */
    private static final double RANK_LOAD_OFFSET_RATIO = 1.0;

    /** The range of Retry-After times of requests that are refused for overload. */
    private static final long MIN_RETRY_AFTER_MS = 300;

    private static final long MAX_RETRY_AFTER_MS = 1_500;

    private LoadShedding() {}

    /**
     * Returns the Retry-After time of a refused request, spread so that refused callers do not all retry at once.
     *
     * @param draw a random number from 0 to 1
     * @return a time in milliseconds
     */
    public static long toRetryAfterMs(double draw) {
        return MIN_RETRY_AFTER_MS + Math.round(draw * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS));
    }

    /**
     * Returns the ratio of requests to refuse.
     *
     * @param load the requests that run or wait at a service, divided by the sum of the limits of its instances
     * @param position the position of the rank among those in use, 0 for the most important
     * @param ranks the number of ranks in use, at least 1
     * @param isReturning whether the request was refused before and was sent again at the time given
     * @return a ratio from 0 to 1
     */
    public static double toRefusedRatio(double load, int position, int ranks, boolean isReturning) {
        double start = MIN_SHED_LOAD_RATIO + RANK_LOAD_OFFSET_RATIO * Math.max(0, ranks - 1 - position);
        double width = RANK_LOAD_RANGE_RATIO / 2;
        return Math.max(0, Math.min(1, (load - start - (isReturning ? width : 0)) / width));
    }
}
