package io.cranberryarch.mesh;

/**
 * Detects an upstream whose reports are ignored as older ones, but that goes on reporting while the incarnation that
 * seems to be newer is silent. The newer one was then an odd report of another writer, or the upstream was started
 * again after its clock had been set back. Delayed reports of an incarnation that has ended arrive together, or end
 * soon.
 */
final class PersistentReports {

    private static final int MIN_REPORTS = 3;
    private static final long MIN_DURATION_MS = 2_000;

    private String instance = "";
    private long startedAtMs;
    private long sequence;
    private long firstAtMs;
    private int count;

    /**
     * Adds a report that seems to be older than the current state.
     *
     * @param report the report
     * @param nowMs the time in monotonic milliseconds
     * @return whether its sender has reported often and long enough to be believed
     */
    boolean add(UpstreamReport report, long nowMs) {
        boolean isContinued = count > 0
                && report.instance().equals(instance)
                && report.startedAtMs() == startedAtMs
                && report.sequence() > sequence;
        if (!isContinued) {
            instance = report.instance();
            startedAtMs = report.startedAtMs();
            firstAtMs = nowMs;
            count = 0;
        }
        sequence = report.sequence();
        count++;
        return count >= MIN_REPORTS && nowMs - firstAtMs >= MIN_DURATION_MS;
    }

    /** Forgets the reports added so far, as the current incarnation has reported. */
    void clear() {
        count = 0;
    }
}
