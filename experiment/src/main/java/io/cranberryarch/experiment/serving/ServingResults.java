package io.cranberryarch.experiment.serving;

import io.cranberryarch.experiment.serving.ServingScenario.RequestSpec;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts what callers were owed and what they got, by kind of request and by second, and the repeats by service. */
final class ServingResults {

    private static final int MS_PER_S = 1_000;

    /** The window over which repeats are limited. */
    private static final int BUDGET_WINDOW_S = 10;

    /** The number of seconds of the worst window. */
    private static final int WORST_WINDOW_S = 3;

    private final ServingScenario scenario;
    private final double[] owed;
    private final double[] earned;
    private final Map<String, double[]> firstSends = new HashMap<>();
    private final Map<String, double[]> repeats = new HashMap<>();
    private final Map<String, Count> byKind = new TreeMap<>();
    private double wastedMs;

    ServingResults(ServingScenario scenario) {
        this.scenario = scenario;
        this.owed = new double[toSeconds()];
        this.earned = new double[toSeconds()];
        scenario.toCallerRequests().forEach(request -> byKind.put(request.name(), new Count()));
    }

    private int toSeconds() {
        return (int) (scenario.fleet().lengthMs() / MS_PER_S) + 1;
    }

    void recordOwed(RequestSpec spec, long startMs) {
        if (startMs + spec.timeoutMs() <= scenario.fleet().lengthMs()) {
            owed[(int) (startMs / MS_PER_S)] += spec.worth();
            byKind.get(spec.name()).owed++;
        }
    }

    void recordServed(RequestSpec spec, long startMs, long tookMs) {
        if (startMs + spec.timeoutMs() <= scenario.fleet().lengthMs() && tookMs <= spec.timeoutMs()) {
            boolean isLate = tookMs > spec.objectiveMs();
            double ratio = isLate ? spec.lateWorth() : 1;
            earned[(int) (startMs / MS_PER_S)] += ratio * spec.worth();
            byKind.get(spec.name()).earned += ratio;
            byKind.get(spec.name()).late += isLate ? 1 : 0;
        }
    }

    void recordRefused(RequestSpec spec) {
        byKind.get(spec.name()).refused++;
    }

    void recordFailed(RequestSpec spec, long startMs, Map<String, Double> slotTimesMs) {
        byKind.get(spec.name()).failed++;
        slotTimesMs.values().forEach(ms -> wastedMs += ms);
    }

    void recordFirstSend(String service, long nowMs) {
        firstSends.computeIfAbsent(service, unused -> new double[toSeconds()])[(int) (nowMs / MS_PER_S)]++;
    }

    void recordArrival(ModelRequest request, long nowMs) {
        if (request.isRepeat()) {
            repeats.computeIfAbsent(request.spec().service(), unused -> new double[toSeconds()])[
                    (int) (nowMs / MS_PER_S)]++;
        }
    }

    /** Returns the worth that callers got, as a ratio of what they were owed. */
    double toWorth() {
        return sum(earned, 0, earned.length) / sum(owed, 0, owed.length);
    }

    /** Returns the ratio of the worth in the worst window. */
    double toWorstWindow() {
        double worst = 1;
        for (int i = 0; i + WORST_WINDOW_S <= owed.length; i++) {
            double windowOwed = sum(owed, i, i + WORST_WINDOW_S);
            if (windowOwed > 0) {
                worst = Math.min(worst, sum(earned, i, i + WORST_WINDOW_S) / windowOwed);
            }
        }
        return worst;
    }

    /** Returns the worth of one kind of request, as a ratio of what its callers were owed. */
    double toWorth(String kind) {
        Count count = byKind.get(kind);
        return count.owed == 0 ? 1 : count.earned / count.owed;
    }

    /** Returns the refusals, failures and late answers of one kind of request, each per request. */
    String toDetails(String kind) {
        Count count = byKind.get(kind);
        double owedCount = Math.max(1, count.owed);
        return String.format(
                Locale.ROOT,
                "refused %.3f, failed %.3f, late %.3f",
                count.refused / owedCount,
                count.failed / owedCount,
                count.late / owedCount);
    }

    /** Returns the slot time of runs whose callers got a failure, in milliseconds. */
    double getWastedMs() {
        return wastedMs;
    }

    /** Returns the number of repeated sends that reached instances of a service. */
    double countRepeats(String service) {
        return sum(repeats.getOrDefault(service, new double[0]), 0, Integer.MAX_VALUE);
    }

    /** Returns the repeats of the service that used most of its allowance in some window, as a ratio of it. */
    double toMaxBudgetUse() {
        double max = 0;
        for (Map.Entry<String, double[]> entry : repeats.entrySet()) {
            double[] sends = firstSends.get(entry.getKey());
            for (int end = 1; end <= sends.length; end++) {
                int start = Math.max(0, end - BUDGET_WINDOW_S);
                double allowed = scenario.fleet().repeatRatio() * sum(sends, start, end)
                        + scenario.fleet().repeatSlack();
                max = Math.max(max, sum(entry.getValue(), start, end) / allowed);
            }
        }
        return max;
    }

    private static double sum(double[] values, int from, int to) {
        double sum = 0;
        for (int i = from; i < Math.min(to, values.length); i++) {
            sum += values[i];
        }
        return sum;
    }

    /** Counts of one kind of request. */
    private static final class Count {

        private double owed;
        private double earned;
        private double late;
        private double refused;
        private double failed;
    }
}
