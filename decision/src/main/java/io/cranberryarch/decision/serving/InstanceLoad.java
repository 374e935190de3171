package io.cranberryarch.decision.serving;

/** What a node knows of the load and the failures of one instance. Not thread-safe. */
public final class InstanceLoad {

    private static final double FAILURE_WEIGHT = 0.1;
    private static final double FAILURE_HALF_LIFE_MS = 2_000;
    private static final double FAILURE_COST = 2.0;

    /** A cold upstream works at about half of its speed. */
    private static final double COLD_SHARE = 0.5;

    private final FailureRatio failures = new FailureRatio(FAILURE_WEIGHT, FAILURE_HALF_LIFE_MS);
    private int limit = 1;
    private double failing;
    private int reported;
    private int sentSinceReport;
    private long coldUntilMs;

    /**
     * Notes what the instance reported of itself.
     *
     * @param newLimit requests that it runs at once at most
     * @param busy requests that run or wait there
     * @param newFailing the share of requests that its upstream fails by itself, from 0 to 1
     */
    public void onReport(int newLimit, int busy, double newFailing) {
        failing = newFailing;
        limit = Math.max(1, newLimit);
        reported = busy;
        sentSinceReport = 0;
    }

    /**
     * Notes until when the upstream is slow after its start.
     *
     * @param untilMs the time in milliseconds
     */
    public void setColdUntilMs(long untilMs) {
        coldUntilMs = untilMs;
    }

    /** Notes that a request is sent to the instance. */
    public void onSend() {
        sentSinceReport++;
    }

    /**
     * Notes the end of a request.
     *
     * @param isFailed whether it did not get through to an answer of the upstream
     * @param nowMs the time in milliseconds
     */
    public void onEnd(boolean isFailed, long nowMs) {
        failures.record(isFailed, nowMs);
    }

    /**
     * Estimates the recent share of failures.
     *
     * @param nowMs the time in milliseconds
     * @return a share from 0 to 1, which fades while nothing is sent
     */
    public double getFailureRatio(long nowMs) {
        return failures.get(nowMs);
    }

    /**
     * Gets the requests that run or wait at the instance.
     *
     * @return the last report and what was sent since
     */
    public int getBusy() {
        return reported + sentSinceReport;
    }

    /**
     * Gets the limit of the instance.
     *
     * @param nowMs the time in milliseconds
     * @return requests that it runs at once, fewer while it is cold
     */
    public double getLimit(long nowMs) {
        return nowMs < coldUntilMs ? Math.max(1, limit * COLD_SHARE) : limit;
    }

    /**
     * Gets the room for requests that end well.
     *
     * @param nowMs the time in milliseconds
     * @return the limit less the part that the upstream fails by itself
     */
    public double toCapacity(long nowMs) {
        return getLimit(nowMs) * (1 - failing);
    }

    /**
     * Gets the cost of sending a further request here.
     *
     * @param nowMs the time in milliseconds
     * @return 1 for a full instance without failures, more for worse ones
     */
    public double toCost(long nowMs) {
        return (getBusy() + 1) / getLimit(nowMs) + FAILURE_COST * (failing + getFailureRatio(nowMs));
    }
}
