package io.cranberryarch.decision.routing;

import io.cranberryarch.context.LoadReport;

/**
 * Tracks one incarnation of an instance as observed by one node. Load reports can raise its cost but never lower it.
 */
final class InstanceStats {

    private static final double LATENCY_GAIN = 0.2;
    private static final double FAILURE_GAIN = 0.1;
    private static final double FAILURE_PENALTY = 10;
    private static final long MAX_REPORT_AGE_MS = 2_000;
    private static final long SLOW_START_MS = 30_000;
    private static final double SLOW_START_WEIGHT = 0.1;
    private static final int MIN_EJECTION_FAILURES = 5;
    private static final double MAX_FAILURE_RATIO = 0.5;
    private static final long EJECTION_MS = 5_000;
    private static final int MAX_EJECTIONS = 6;

    private final long incarnation;
    private final long firstObservedMs;
    private final boolean isWarm;
    private int outstanding;
    private double latencyMs;
    private double failureRatio;
    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntilMs = Long.MIN_VALUE;
    private double reportedLoad;
    private long reportedAtMs = Long.MIN_VALUE / 2;

    InstanceStats(long incarnation, long nowMs, boolean isWarm) {
        this.incarnation = incarnation;
        this.firstObservedMs = nowMs;
        this.isWarm = isWarm;
    }

    long getIncarnation() {
        return incarnation;
    }

    int getOutstanding() {
        return outstanding;
    }

    void onStart() {
        outstanding++;
    }

    void onEnd(CallOutcome outcome, long tookMs, long nowMs) {
        outstanding = Math.max(0, outstanding - 1);
        if (outcome == CallOutcome.IRRELEVANT) {
            return;
        }
        if (outcome == CallOutcome.ANSWERED) {
            latencyMs = latencyMs == 0 ? tookMs : latencyMs + LATENCY_GAIN * (tookMs - latencyMs);
        }
        failureRatio += FAILURE_GAIN * ((outcome.isFailure() ? 1 : 0) - failureRatio);
        consecutiveFailures = outcome.isFailure() ? consecutiveFailures + 1 : 0;
        if (outcome.isBusy()) {
            report(1, nowMs);
        }
        if (consecutiveFailures >= MIN_EJECTION_FAILURES || failureRatio > MAX_FAILURE_RATIO) {
            ejections = Math.min(MAX_EJECTIONS, ejections + 1);
            ejectedUntilMs = nowMs + EJECTION_MS * ejections;
            consecutiveFailures = 0;
            failureRatio = 0;
        } else if (outcome == CallOutcome.ANSWERED && failureRatio < FAILURE_GAIN) {
            ejections = 0;
        }
    }

    void onReport(LoadReport load, long nowMs) {
        report((double) load.inFlight() / Math.max(1, load.limit()), nowMs);
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** Returns the last reported load, between 0 and about 1, or 0 if the report has expired. */
    double toReportedLoad(long nowMs) {
        return nowMs - reportedAtMs > MAX_REPORT_AGE_MS ? 0 : reportedLoad;
    }

    /** Returns the cost of sending another call; lower is better. */
    double toCost(long nowMs, double meanLatencyMs) {
        double latency = 1 + (latencyMs == 0 ? meanLatencyMs : latencyMs);
        double busy = 1 + outstanding + toReportedLoad(nowMs);
        return latency * busy * (1 + FAILURE_PENALTY * failureRatio) / toWeight(nowMs);
    }

    double getLatencyMs() {
        return latencyMs;
    }

    private double toWeight(long nowMs) {
        if (isWarm || nowMs - firstObservedMs >= SLOW_START_MS) {
            return 1;
        }
        double age = (double) (nowMs - firstObservedMs) / SLOW_START_MS;
        return SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * age;
    }

    private void report(double load, long nowMs) {
        reportedLoad = load;
        reportedAtMs = nowMs;
    }
}
