package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks the demand of new requests on services, by rank, whether the requests are admitted or not. The demand is
 * recorded when a request arrives, while the load of a deep service reflects it only after the call tree has reached
 * that service. Not thread-safe.
 *
 * <pre>
 * demand.add(2, costs.get("browse"), nowMs);
 * demand.toSlots("stock", nowMs);
 * </pre>
 */
public final class WorkDemand {

    private static final double AVERAGING_TIME_MS = 500;

    /** The demand, in slots, below which it is reported to other nodes as 0. */
    private static final double MIN_REPORTED_SLOTS = 0.02;

    /** The ratio of the last reported demand by which demand must change to be reported again. */
    private static final double MIN_REPORTED_CHANGE_RATIO = 0.1;

    private static final char SEPARATOR = '@';

    private final Map<String, TreeMap<Integer, DecayingSum>> sumsByService = new HashMap<>();

    /**
     * Records the demand of a request.
     *
     * @param rank its importance, 0 for the most important
     * @param costMs the cost of its call tree, in slot milliseconds by service
     * @param nowMs the time in milliseconds
     */
    public void add(int rank, Map<String, Double> costMs, long nowMs) {
        costMs.forEach((service, ms) -> sumsByService
                .computeIfAbsent(service, unused -> new TreeMap<>())
                .computeIfAbsent(rank, unused -> new DecayingSum())
                .add(ms / AVERAGING_TIME_MS, nowMs));
    }

    /**
     * Returns the demand on a service.
     *
     * @param service the name of the service
     * @param nowMs the time in milliseconds
     * @return the slots that the demand would occupy, by rank
     */
    public SortedMap<Integer, Double> toSlots(String service, long nowMs) {
        SortedMap<Integer, Double> slots = new TreeMap<>();
        sumsByService.getOrDefault(service, new TreeMap<>()).forEach((rank, sum) -> slots.put(rank, sum.get(nowMs)));
        return slots;
    }

    /**
     * Returns the demand that has changed since the last report, and records it as reported to all other nodes.
     *
     * @param nowMs the time in milliseconds
     * @return the slots by {@code RANK@SERVICE}, 0 for demand that has decayed
     */
    public Map<String, Double> report(long nowMs) {
        Map<String, Double> changes = new HashMap<>();
        sumsByService.forEach((service, ranks) -> ranks.forEach((rank, sum) -> {
            double slots = sum.get(nowMs);
            double rounded = slots < MIN_REPORTED_SLOTS ? 0 : slots;
            if (Math.abs(rounded - sum.reported) > MIN_REPORTED_CHANGE_RATIO * sum.reported) {
                sum.reported = rounded;
                changes.put(toKey(rank, service), rounded);
            }
        }));
        return changes;
    }

    /**
     * Returns the demand as last reported to the other nodes.
     *
     * @return the slots by {@code RANK@SERVICE}
     */
    public Map<String, Double> getReported() {
        Map<String, Double> reported = new HashMap<>();
        sumsByService.forEach((service, ranks) -> ranks.forEach((rank, sum) -> {
            if (sum.reported > 0) {
                reported.put(toKey(rank, service), sum.reported);
            }
        }));
        return reported;
    }

    private static String toKey(int rank, String service) {
        return rank + String.valueOf(SEPARATOR) + service;
    }

    /**
     * Adds the demand that another node reported.
     *
     * @param report the merged results of {@link #report} at that node, later values replacing earlier ones
     * @param service the service whose demand is added
     * @param slots the map to add the demand to, by rank
     */
    public static void addReported(Map<String, Double> report, String service, SortedMap<Integer, Double> slots) {
        report.forEach((key, value) -> {
            int end = key.indexOf(SEPARATOR);
            if (end > 0 && key.length() - end - 1 == service.length() && key.endsWith(service)) {
                slots.merge(Integer.parseInt(key.substring(0, end)), value, Double::sum);
            }
        });
    }

    /**
     * Computes the ratio of the requests of a rank that a service can serve after all more important ones.
     *
     * @param slots the demand of all nodes, by rank
     * @param rank the rank
     * @param capacity the slots of the service
     * @return a ratio from 0 to 1, 1 if the rank has no demand
     */
    public static double toServedRatio(SortedMap<Integer, Double> slots, int rank, double capacity) {
        double remaining = capacity;
        for (double moreImportant : slots.headMap(rank).values()) {
            remaining -= moreImportant;
        }
        double rankDemand = slots.getOrDefault(rank, 0.0);
        return rankDemand <= 0 ? 1 : Math.max(0, Math.min(1, remaining / rankDemand));
    }

    /** A sum that decays exponentially over time. */
    private static final class DecayingSum {

        private double value;
        private double reported;
        private long updatedAtMs;

        void add(double amount, long nowMs) {
            value = get(nowMs) + amount;
            updatedAtMs = nowMs;
        }

        double get(long nowMs) {
            return value * Math.exp(-(nowMs - updatedAtMs) / AVERAGING_TIME_MS);
        }
    }
}
