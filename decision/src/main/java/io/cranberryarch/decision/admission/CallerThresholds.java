package io.cranberryarch.decision.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The thresholds that gates reported, kept where calls start, so that calls are refused before anything runs.
 *
 * <p>A threshold rises again when it is not confirmed, so that calls probe whether the overload is over. The number of
 * entries is bounded; the oldest one goes first. Not thread-safe.
 *
 * <pre>
 * thresholds.update(key, report.threshold(), nowMs);
 * boolean refused = level &gt;= thresholds.toThreshold(key, nowMs);
 * </pre>
 */
public final class CallerThresholds {

    private static final int MAX_ENTRIES = 10_000;
    private static final long RECOVERY_MS = 4_000;
    private static final double WEIGHT_OF_REPORT = 0.3;

    /**
     * What a threshold is for.
     *
     * @param service the service that is called
     * @param kind the kind of the caller's request
     * @param account the client account
     */
    public record Key(String service, String kind, String account) {}

    private record Entry(double threshold, long atMs) {

        double toThreshold(long nowMs) {
            double rise = (double) AdmissionLevel.LEVELS * Math.max(0, nowMs - atMs) / RECOVERY_MS;
            return Math.min(AdmissionLevel.LEVELS, threshold + rise);
        }
    }

    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /**
     * Takes over the threshold of an answer.
     *
     * @param key what it is for
     * @param threshold the lowest level that is refused
     * @param nowMs monotonic time in milliseconds
     */
    public void update(Key key, int threshold, long nowMs) {
        double reported = Math.max(0, Math.min(AdmissionLevel.LEVELS, threshold));
        Entry last = entries.remove(key);
        if (last != null) {
            double current = last.toThreshold(nowMs);
            reported = current + WEIGHT_OF_REPORT * (reported - current);
        }
        if (reported >= AdmissionLevel.LEVELS) {
            return;
        }
        entries.put(key, new Entry(reported, nowMs));
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * Gets the threshold for a call.
     *
     * @param key what it is for
     * @param nowMs monotonic time in milliseconds
     * @return the lowest level that is refused now
     */
    public int toThreshold(Key key, long nowMs) {
        Entry entry = entries.get(key);
        return entry == null ? AdmissionLevel.LEVELS : (int) Math.round(entry.toThreshold(nowMs));
    }
}
