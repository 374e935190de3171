package io.cranberryarch.mesh;

import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the node believes of the upstream on its machine, from the upstream's own reports. */
public final class UpstreamState {

    /** Requests that an upstream gets at once before it has said how many slots it has. */
    private static final int SLOTS_BEFORE_REPORT = 16;

    /** Reports in a row that may be late before the upstream counts as gone. */
    private static final int MISSING_REPORTS = 3;

    /** The start of an incarnation of which only the identifier is known. */
    private static final long UNKNOWN_START = 0;

    private final EventLoop loop;
    private final EventLog log;
    private final Map<String, Long> left = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private String instance = "";
    private String service = "";
    private long startedAtMs;
    private long sequence;
    private int slots;
    private boolean isLeaving;
    private boolean isNodeStopping;
    private boolean isReachable;
    private long coldUntilMs;
    private long reportedAtMs;

    /**
     * Creates a state that knows no upstream.
     *
     * @param loop the loop
     * @param log the log
     */
    public UpstreamState(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
        this.reportedAtMs = loop.nowMs();
    }

    /**
     * Adds what to do when the upstream appears, leaves or changes.
     *
     * @param listener the action
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes a report of the upstream. Reports that are older than what is known are ignored.
     *
     * @param report the report
     */
    public void onReport(UpstreamReport report) {
        boolean isStartUnknown = report.instance().equals(instance) && startedAtMs == UNKNOWN_START;
        boolean isNewInstance =
                !report.instance().equals(instance) || (report.startedAtMs() > startedAtMs && !isStartUnknown);
        if (isNewInstance && report.startedAtMs() < startedAtMs) {
            log.info("event=report-ignored reason=older-incarnation instance=" + report.instance() + " started-at-ms="
                    + report.startedAtMs() + " known-instance=" + instance + " known-started-at-ms=" + startedAtMs);
            return;
        }
        if (!isNewInstance && (report.startedAtMs() < startedAtMs || report.sequence() <= sequence)) {
            log.info("event=report-ignored reason=older-sequence instance=" + report.instance() + " sequence="
                    + report.sequence() + " known-sequence=" + sequence);
            return;
        }
        if (report.isLeaving()) {
            left.merge(report.instance(), report.startedAtMs(), Math::max);
        }
        // Leaving is final for an incarnation, also if a later report says otherwise.
        boolean isNowLeaving = hasLeft(report.instance(), report.startedAtMs());
        boolean isChanged = isNewInstance || isLeaving != isNowLeaving || slots != report.slots() || !isReachable;
        instance = report.instance();
        service = report.service();
        startedAtMs = report.startedAtMs();
        sequence = report.sequence();
        slots = report.slots();
        isLeaving = isNowLeaving;
        isReachable = true;
        reportedAtMs = loop.nowMs();
        coldUntilMs = reportedAtMs + report.coldLeftMs();
        if (isChanged) {
            changed(isNewInstance ? "new-incarnation" : "report");
        }
    }

    /**
     * Notes that an incarnation is about to end.
     *
     * @param leaving the identifier of the incarnation
     * @param leavingStartedAtMs its start, in milliseconds since 1970, 0 if unknown
     */
    public void onLeave(String leaving, long leavingStartedAtMs) {
        // Noted also for an incarnation that the node does not know yet, as the leave is acknowledged in any case.
        left.merge(leaving, leavingStartedAtMs, Math::max);
        boolean isOlder = leavingStartedAtMs != UNKNOWN_START && leavingStartedAtMs < startedAtMs;
        if (!leaving.equals(instance) || isOlder) {
            log.info("event=leave-ignored instance=" + leaving + " known-instance=" + instance);
            return;
        }
        if (leavingStartedAtMs == UNKNOWN_START) {
            left.put(leaving, startedAtMs);
        }
        if (!isLeaving) {
            isLeaving = true;
            changed("deregistered");
        }
    }

    /** Takes the answer to a health check while no report has come yet. */
    void onProbed(String probed, String probedService) {
        if (isKnown()) {
            return;
        }
        instance = probed;
        service = probedService;
        slots = SLOTS_BEFORE_REPORT;
        isReachable = true;
        isLeaving = left.containsKey(probed);
        reportedAtMs = loop.nowMs();
        changed("probed");
    }

    /** Stops using an upstream that no longer reports. */
    void checkReports(long reportIntervalMs) {
        boolean isMissing = loop.nowMs() - reportedAtMs > MISSING_REPORTS * reportIntervalMs;
        if (isKnown() && isReachable && isMissing) {
            isReachable = false;
            changed("reports-missing");
        }
    }

    /** Tells whether the node ends together with its upstream, and not only for a restart. */
    boolean isPermanentShutdown() {
        return isNodeStopping && isLeaving;
    }

    /** Tells whether the upstream itself has announced its end. */
    boolean isUpstreamLeaving() {
        return isLeaving;
    }

    /** Tells whether an incarnation, or a later one under the same identifier, was said to leave. */
    private boolean hasLeft(String reported, long reportedStartMs) {
        return left.containsKey(reported) && reportedStartMs <= left.get(reported);
    }

    void onReplaced() {
        if (isReachable) {
            isReachable = false;
            changed("another-instance-answered");
        }
    }

    void onUnreachable(String cause) {
        if (isReachable) {
            isReachable = false;
            changed("unreachable:" + cause.replace(' ', '-'));
        }
    }

    boolean isKnown() {
        return !instance.isEmpty();
    }

    /** Notes that the node ends while its upstream stays. */
    void onNodeStopping() {
        isNodeStopping = true;
        changed("node-stopping");
    }

    boolean isAccepting() {
        return isKnown() && !isLeaving() && isReachable;
    }

    /** Tells whether nothing new may be sent, as the upstream or the node is about to end. */
    boolean isLeaving() {
        return isLeaving || isNodeStopping;
    }

    /** Gets the milliseconds since the upstream last reported, or since the start if it has not. */
    long getReportAgeMs() {
        return loop.nowMs() - reportedAtMs;
    }

    String getInstance() {
        return instance;
    }

    String getService() {
        return service;
    }

    int getSlots() {
        return slots;
    }

    long getColdLeftMs() {
        return Math.max(0, coldUntilMs - loop.nowMs());
    }

    private void changed(String reason) {
        log.info("event=upstream-changed reason=" + reason + " instance=" + instance + " service=" + service
                + " slots=" + slots + " leaving=" + isLeaving + " reachable=" + isReachable + " sequence=" + sequence
                + " cold-left-ms=" + getColdLeftMs());
        for (Runnable listener : listeners) {
            listener.run();
        }
    }
}
