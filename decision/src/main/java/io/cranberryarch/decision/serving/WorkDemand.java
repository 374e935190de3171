package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The work that new requests ask of services, by rank, whether they are let in or not. It is known when a request
 * arrives, while the load of a deep service shows it only after the call tree has reached it. Not thread-safe.
 *
 * <pre>
 * demand.add(2, costs.get("browse"), nowMs);
 * demand.toSlots("stock", nowMs);
 * </pre>
 */
public final class WorkDemand {

    private static final double AVERAGE_MS = 1_000;

    /** Work below this, in slots, is not worth telling other nodes. */
    private static final double NEGLIGIBLE_SLOTS = 0.02;

    /** The change of demand that is worth telling the others, as a part of what they know. */
    private static final double TOLD_CHANGE_PART = 0.1;

    private static final char SEPARATOR = '@';

    private final Map<String, TreeMap<Integer, Average>> byService = new HashMap<>();

    /**
     * Adds a request.
     *
     * @param rank its importance, 0 for the most important
     * @param costMs what its call tree uses, in milliseconds of slots by service
     * @param nowMs the time in milliseconds
     */
    public void add(int rank, Map<String, Double> costMs, long nowMs) {
        costMs.forEach((service, ms) -> byService
                .computeIfAbsent(service, unused -> new TreeMap<>())
                .computeIfAbsent(rank, unused -> new Average())
                .add(ms / AVERAGE_MS, nowMs));
    }

    /**
     * Gets the work that is asked of a service.
     *
     * @param service the name of the service
     * @param nowMs the time in milliseconds
     * @return slots that would be busy with it, by rank
     */
    public SortedMap<Integer, Double> toSlots(String service, long nowMs) {
        SortedMap<Integer, Double> slots = new TreeMap<>();
        byService
                .getOrDefault(service, new TreeMap<>())
                .forEach((rank, average) -> slots.put(rank, average.get(nowMs)));
        return slots;
    }

    /**
     * Notes that the node tells all others the demand, as far as they know something else.
     *
     * @param nowMs the time in milliseconds
     * @return slots by {@code RANK@SERVICE}, 0 for what has faded
     */
    public Map<String, Double> report(long nowMs) {
        Map<String, Double> changes = new HashMap<>();
        byService.forEach((service, ranks) -> ranks.forEach((rank, average) -> {
            double slots = average.get(nowMs);
            double told = slots < NEGLIGIBLE_SLOTS ? 0 : slots;
            if (Math.abs(told - average.reported) > TOLD_CHANGE_PART * average.reported) {
                average.reported = told;
                changes.put(toKey(rank, service), told);
            }
        }));
        return changes;
    }

    /**
     * Gets the demand that the other nodes know.
     *
     * @return slots by {@code RANK@SERVICE}
     */
    public Map<String, Double> getReported() {
        Map<String, Double> reported = new HashMap<>();
        byService.forEach((service, ranks) -> ranks.forEach((rank, average) -> {
            if (average.reported > 0) {
                reported.put(toKey(rank, service), average.reported);
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
     * @param report what {@link #report} of that node returned, changes applied one after the other
     * @param service the service whose demand is added
     * @param slots takes the demand, by rank
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
     * Computes which share of the requests of a rank fits into a service once all more important ones are served.
     *
     * @param slots the demand of all nodes, by rank
     * @param rank the rank
     * @param capacity the slots of the service
     * @return a share from 0 to 1
     */
    public static double toServedShare(SortedMap<Integer, Double> slots, int rank, double capacity) {
        double left = capacity;
        for (double moreImportant : slots.headMap(rank).values()) {
            left -= moreImportant;
        }
        double own = slots.getOrDefault(rank, 0.0);
        return own <= 0 ? 1 : Math.max(0, Math.min(1, left / own));
    }

    /** A sum that fades with time. */
    private static final class Average {

        private double value;
        private double reported;
        private long atMs;

        void add(double amount, long nowMs) {
            value = get(nowMs) + amount;
            atMs = nowMs;
        }

        double get(long nowMs) {
            return value * Math.exp(-(nowMs - atMs) / AVERAGE_MS);
        }
    }
}
