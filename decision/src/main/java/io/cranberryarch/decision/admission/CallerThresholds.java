package io.cranberryarch.decision.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches the thresholds reported by gates at the nodes that send calls, so that calls are refused before any work is
 * done.
 *
 * <p>A threshold rises over time unless it is confirmed by a new report, so that calls probe whether the overload is
 * over. The number of entries is bounded; the least recently updated one is evicted first. Not thread-safe.
 *
 * <pre>
 * thresholds.update(key, report.threshold(), nowMs);
 * boolean refused = level &gt;= thresholds.toThreshold(key, nowMs);
 * </pre>
 */
public final class CallerThresholds {

    private static final int MAX_ENTRIES = 10_000;
    private static final long RECOVERY_MS = 4_000;
    private static final double REPORT_WEIGHT = 0.3;

    /**
     * The key of a threshold.
     *
     * @param service the called service
     * @param kind the kind of the caller's request
     * @param account the client account
     */
    public record Key(String service, String kind, String account) {}

    private record Entry(double threshold, long updatedAtMs) {

        double toThreshold(long nowMs) {
            double rise = (double) AdmissionLevel.LEVELS * Math.max(0, nowMs - updatedAtMs) / RECOVERY_MS;
            return Math.min(AdmissionLevel.LEVELS, threshold + rise);
        }
    }

    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /**
     * Applies the threshold reported in an answer.
     *
     * @param key the key of the threshold, not {@code null}
     * @param threshold the lowest level that is refused
     * @param nowMs monotonic time in milliseconds
     */
    public void update(Key key, int threshold, long nowMs) {
        double reported = Math.max(0, Math.min(AdmissionLevel.LEVELS, threshold));
        Entry last = entries.remove(key);
        if (last != null) {
            double current = last.toThreshold(nowMs);
            reported = current + REPORT_WEIGHT * (reported - current);
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
     * Returns the threshold for a call.
     *
     * @param key the key of the threshold, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @return the lowest level that is refused, {@link AdmissionLevel#LEVELS} if there is no entry
     */
    public int toThreshold(Key key, long nowMs) {
        Entry entry = entries.get(key);
        return entry == null ? AdmissionLevel.LEVELS : (int) Math.round(entry.toThreshold(nowMs));
    }
}
