package io.cranberryarch.decision.serving;

/** Tracks the load and the failures of one instance as observed by a node. Not thread-safe. */
public final class InstanceLoad {

    private static final double FAILURE_WEIGHT = 0.1;
    private static final double FAILURE_HALF_LIFE_MS = 2_000;
    private static final double FAILURE_COST = 2.0;

    /** An upstream that has just started runs at about half of its normal speed. */
    private static final double COLD_LIMIT_RATIO = 0.5;

    /** The lowest limit that is believed, so that an instance with a limit of 0 has a finite cost. */
    private static final double MIN_LIMIT = 0.001;

    private final FailureRatio failures = new FailureRatio(FAILURE_WEIGHT, FAILURE_HALF_LIFE_MS);
    private double limit = 1;
    private double upstreamFailureRatio;
    private int reportedInFlight;
    private int sentSinceReport;
    private long coldStartEndMs;

    /**
     * Applies a load report of the instance.
     *
     * @param newLimit the number of requests that it runs concurrently at full load, below 1 if its rate limit is low
     * @param inFlight the requests that run or wait there
     * @param newFailureRatio the ratio of requests that fail in its upstream itself, from 0 to 1
     */
    public void onReport(double newLimit, int inFlight, double newFailureRatio) {
        upstreamFailureRatio = newFailureRatio;
        limit = Math.max(MIN_LIMIT, newLimit);
        reportedInFlight = inFlight;
        sentSinceReport = 0;
    }

    /**
     * Sets the end of the cold start, during which the upstream is slow.
     *
     * @param endMs the end of the cold start, in milliseconds
     */
    public void setColdStartEndMs(long endMs) {
        coldStartEndMs = endMs;
    }

    /** Records that a request is sent to the instance. */
    public void onSend() {
        sentSinceReport++;
    }

    /**
     * Records the end of a request.
     *
     * @param isFailed whether it ended without an answer of the upstream
     * @param nowMs the time in milliseconds
     */
    public void onEnd(boolean isFailed, long nowMs) {
        failures.record(isFailed, nowMs);
    }

    /**
     * Returns the recent failure ratio.
     *
     * @param nowMs the time in milliseconds
     * @return a ratio from 0 to 1, which decays while no request ends
     */
    public double getFailureRatio(long nowMs) {
        return failures.get(nowMs);
    }

    /**
     * Returns the number of requests that run or wait at the instance.
     *
     * @return the number last reported plus the requests sent since
     */
    public int getInFlight() {
        return reportedInFlight + sentSinceReport;
    }

    /**
     * Returns the concurrency limit of the instance.
     *
     * @param nowMs the time in milliseconds
     * @return the maximum number of concurrent requests, reduced during the cold start
     */
    public double getLimit(long nowMs) {
        return nowMs < coldStartEndMs ? Math.max(Math.min(1, limit), limit * COLD_LIMIT_RATIO) : limit;
    }

    /**
     * Returns the capacity for successful requests.
     *
     * @param nowMs the time in milliseconds
     * @return the limit less the part that fails in the upstream itself
     */
    public double toCapacity(long nowMs) {
        return getLimit(nowMs) * (1 - upstreamFailureRatio);
    }

    /**
     * Returns whether a further request would run at once.
     *
     * @param nowMs the time in milliseconds
     * @return whether a slot is free
     */
    public boolean hasFreeSlot(long nowMs) {
        return getInFlight() < getLimit(nowMs);
    }

    /**
     * Returns the cost of sending another request to the instance.
     *
     * @param nowMs the time in milliseconds
     * @return 1 if the request would use the last of the limit of an instance without failures, higher for worse ones
     */
    public double toCost(long nowMs) {
        double currentLimit = getLimit(nowMs);
        double usedRatio = (getInFlight() + Math.min(1, currentLimit)) / currentLimit;
        return usedRatio + FAILURE_COST * (upstreamFailureRatio + getFailureRatio(nowMs));
    }
}
