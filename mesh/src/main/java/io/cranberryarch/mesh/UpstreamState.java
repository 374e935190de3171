package io.cranberryarch.mesh;

import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds the state of the upstream on the node's host, as derived from the upstream's reports and responses. */
public final class UpstreamState {

    /** The number of slots assumed for an upstream that has not reported its own. */
    private static final int DEFAULT_SLOTS = 16;

    /** The number of consecutive reports that may be missed before the upstream is treated as unreachable. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** The number of incarnations that have left which are remembered, the newest ones. */
    private static final int MAX_LEFT_INCARNATIONS = 16;

    private final EventLoop loop;
    private final EventLog log;
    private final Map<String, Long> leftIncarnations = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final PersistentReports ignoredReports = new PersistentReports();
    private String instance = "";
    private String service = "";
    private long startedAtMs;
    private long sequence;
    private int slots;
    private boolean isLeaving;
    private boolean isNodeStopping;
    private boolean isReachable;
    private long coldStartEndMs;
    private long reportedAtMs;
    private long leavesRevision;

    /**
     * Creates a state without a known upstream.
     *
     * @param loop the event loop
     * @param log the log for changes of state
     */
    public UpstreamState(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
        this.reportedAtMs = loop.nowMs();
    }

    /**
     * Adds a listener that is run when the upstream appears, leaves or changes.
     *
     * @param listener the listener
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Applies a report of the upstream. Reports older than the current state are ignored, but for the announcement that
     * their incarnation leaves, which is final and acknowledged in any case.
     *
     * @param report the report
     */
    public void onReport(UpstreamReport report) {
        if (report.isLeaving()) {
            applyLeave(report.instance(), report.startedAtMs(), "report");
        }
        boolean isStartUnknown =
                report.instance().equals(instance) && startedAtMs == UpstreamIncarnation.UNKNOWN_START_MS;
        boolean isNewInstance =
                !report.instance().equals(instance) || (report.startedAtMs() > startedAtMs && !isStartUnknown);
        Optional<String> ignoredReason = findIgnoredReason(report, isNewInstance);
        if (ignoredReason.isPresent()) {
            if (!ignoredReports.add(report, loop.nowMs())) {
                log.info("event=report-ignored reason=" + ignoredReason.get() + " instance=" + report.instance()
                        + " started-at-ms=" + report.startedAtMs() + " sequence=" + report.sequence() + " leaving="
                        + report.isLeaving() + " known-instance=" + instance + " known-started-at-ms=" + startedAtMs
                        + " known-sequence=" + sequence);
                return;
            }
            log.info("event=report-believed reason=" + ignoredReason.get() + " instance=" + report.instance()
                    + " known-instance=" + instance);
            isNewInstance = !report.instance().equals(instance) || report.startedAtMs() != startedAtMs;
        }
        ignoredReports.clear();
        // Leaving is final for an incarnation, even if a later report contradicts it.
        boolean isSameIncarnation = !isNewInstance && !isStartUnknown;
        boolean isNowLeaving = hasLeft(report.instance(), report.startedAtMs()) || (isSameIncarnation && isLeaving);
        boolean isChanged = isNewInstance || isLeaving != isNowLeaving || slots != report.slots() || !isReachable;
        instance = report.instance();
        service = report.service();
        startedAtMs = report.startedAtMs();
        sequence = report.sequence();
        slots = report.slots();
        isLeaving = isNowLeaving;
        isReachable = true;
        reportedAtMs = loop.nowMs();
        coldStartEndMs = reportedAtMs + report.remainingColdStartMs();
        if (isChanged) {
            publishChange(isNewInstance ? "new-incarnation" : "report");
        }
    }

    /** Returns why a report seems to be older than the current state, or empty if it does not. */
    private Optional<String> findIgnoredReason(UpstreamReport report, boolean isNewInstance) {
        if (report.startedAtMs() < startedAtMs) {
            return Optional.of("older-incarnation");
        }
        boolean isOlder = !isNewInstance && report.sequence() <= sequence;
        return isOlder ? Optional.of("older-sequence") : Optional.empty();
    }

    /**
     * Records that an incarnation is about to end.
     *
     * @param leavingInstance the identifier of the incarnation
     * @param leavingStartedAtMs its start time, in milliseconds since 1970, 0 if unknown
     */
    public void onLeave(String leavingInstance, long leavingStartedAtMs) {
        if (!applyLeave(leavingInstance, leavingStartedAtMs, "deregistered")) {
            log.info("event=leave-ignored instance=" + leavingInstance + " started-at-ms=" + leavingStartedAtMs
                    + " known-instance=" + instance + " known-started-at-ms=" + startedAtMs);
        }
    }

    /** Records that an incarnation leaves, which may not be known yet, and returns whether it is the current one. */
    private boolean applyLeave(String leavingInstance, long leavingStartedAtMs, String reason) {
        boolean isStartUnknown = leavingStartedAtMs == UpstreamIncarnation.UNKNOWN_START_MS;
        boolean isCurrent = leavingInstance.equals(instance) && (isStartUnknown || leavingStartedAtMs >= startedAtMs);
        addLeave(leavingInstance, isStartUnknown && isCurrent ? startedAtMs : leavingStartedAtMs);
        if (isCurrent && !isLeaving) {
            isLeaving = true;
            publishChange(reason);
        }
        return isCurrent;
    }

    /** Applies a response in which an incarnation states that it leaves. */
    void onLeavingResponse(UpstreamIncarnation responding) {
        applyLeave(responding.instance(), responding.startedAtMs(), "response");
    }

    /** Applies the leaves that an earlier process of the node has acknowledged. */
    void restoreLeaves(List<UpstreamIncarnation> leaves) {
        leaves.forEach(leave -> addLeave(leave.instance(), leave.startedAtMs()));
        if (isKnown() && !isLeaving && hasLeft(instance, startedAtMs)) {
            isLeaving = true;
            publishChange("leave-restored");
        }
    }

    /** Returns the newest incarnations that have announced that they leave. */
    List<UpstreamIncarnation> getLeaves() {
        List<UpstreamIncarnation> leaves = new ArrayList<>();
        leftIncarnations.forEach((left, leftStartedAtMs) -> leaves.add(new UpstreamIncarnation(left, leftStartedAtMs)));
        return leaves;
    }

    /** Returns a number that increases with each change of {@link #getLeaves}, 0 while there are none. */
    long getLeavesRevision() {
        return leavesRevision;
    }

    private void addLeave(String leavingInstance, long leavingStartedAtMs) {
        Long knownStartedAtMs = leftIncarnations.get(leavingInstance);
        if (knownStartedAtMs != null && knownStartedAtMs >= leavingStartedAtMs) {
            return;
        }
        leftIncarnations.remove(leavingInstance);
        leftIncarnations.put(leavingInstance, leavingStartedAtMs);
        if (leftIncarnations.size() > MAX_LEFT_INCARNATIONS) {
            leftIncarnations.remove(leftIncarnations.keySet().iterator().next());
        }
        leavesRevision++;
    }

    /** Applies the response to a health check, unless the upstream is already known. */
    void onProbed(String probedInstance, String probedService) {
        if (isKnown()) {
            return;
        }
        instance = probedInstance;
        service = probedService;
        slots = DEFAULT_SLOTS;
        isReachable = true;
        isLeaving = leftIncarnations.containsKey(probedInstance);
        reportedAtMs = loop.nowMs();
        publishChange("probed");
    }

    /** Marks the upstream as unreachable if its reports are overdue. */
    void checkReports(long reportIntervalMs) {
        boolean isMissing = loop.nowMs() - reportedAtMs > MAX_MISSED_REPORTS * reportIntervalMs;
        if (isKnown() && isReachable && isMissing) {
            isReachable = false;
            publishChange("reports-missing");
        }
    }

    /** Returns whether the node shuts down together with its upstream, rather than for a restart of the node alone. */
    boolean isPermanentShutdown() {
        return isNodeStopping && isLeaving;
    }

    /** Returns whether the upstream itself has announced that it leaves. */
    boolean isUpstreamLeaving() {
        return isLeaving;
    }

    /** Returns whether an incarnation, or a later one with the same identifier, has announced that it leaves. */
    private boolean hasLeft(String reportedInstance, long reportedStartedAtMs) {
        return leftIncarnations.containsKey(reportedInstance)
                && reportedStartedAtMs <= leftIncarnations.get(reportedInstance);
    }

    void onReplaced() {
        if (isReachable) {
            isReachable = false;
            publishChange("another-instance-answered");
        }
    }

    void onUnreachable(String cause) {
        if (isReachable) {
            isReachable = false;
            publishChange("unreachable:" + cause.replace(' ', '-'));
        }
    }

    boolean isKnown() {
        return !instance.isEmpty();
    }

    /** Records that the node is stopping, so that no new requests are sent to the upstream. */
    void onNodeStopping() {
        isNodeStopping = true;
        publishChange("node-stopping");
    }

    boolean isAccepting() {
        return isKnown() && !isLeaving() && isReachable;
    }

    /** Returns whether no new requests may be sent, because the upstream or the node is about to end. */
    boolean isLeaving() {
        return isLeaving || isNodeStopping;
    }

    /** Returns the milliseconds since the last report of the upstream, or since the node started if there is none. */
    long getReportAgeMs() {
        return loop.nowMs() - reportedAtMs;
    }

    String getInstance() {
        return instance;
    }

    /** Returns the current incarnation, whose identifier is empty if the upstream is not known. */
    UpstreamIncarnation getIncarnation() {
        return new UpstreamIncarnation(instance, startedAtMs);
    }

    String getService() {
        return service;
    }

    int getSlots() {
        return slots;
    }

    long getRemainingColdStartMs() {
        return Math.max(0, coldStartEndMs - loop.nowMs());
    }

    private void publishChange(String reason) {
        log.info("event=upstream-changed reason=" + reason + " instance=" + instance + " service=" + service
                + " slots=" + slots + " leaving=" + isLeaving + " reachable=" + isReachable + " sequence=" + sequence
                + " cold-left-ms=" + getRemainingColdStartMs());
        for (Runnable listener : listeners) {
            listener.run();
        }
    }
}
