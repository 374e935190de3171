package io.cranberryarch.mesh;

import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.List;

/**
 * Handles and acknowledges the reports of the upstream on the node's host. Whoever acknowledges that an upstream leaves
 * promises that it gets no more requests. So that this also binds the process that runs after a restart of the node, a
 * leave is recorded in the platform's store before it is acknowledged, and read from there at the next start.
 */
public final class UpstreamReportService {

    /**
     * The maximum time for which an acknowledgement waits for the store, below the time for which an upstream waits for
     * the acknowledgement.
     */
    private static final long MAX_ACKNOWLEDGEMENT_DELAY_MS = 600;

    private static final long INITIAL_RETRY_DELAY_MS = 200;
    private static final long MAX_RETRY_DELAY_MS = 2_000;

    private final EventLoop loop;
    private final String node;
    private final UpstreamState upstream;
    private final SharedStore store;
    private final EventLog log;
    private final List<PendingAcknowledgement> pending = new ArrayList<>();
    private Runnable onRestored = () -> {};
    private long recordedRevision;
    private boolean isRestored;
    private boolean isWriting;
    private boolean isRetryScheduled;
    private long retryDelayMs;

    /**
     * Creates a service that is not started.
     *
     * @param loop the event loop
     * @param node the name of the node
     * @param upstream the state of the upstream
     * @param store the platform's store
     * @param log the event log
     */
    public UpstreamReportService(EventLoop loop, String node, UpstreamState upstream, SharedStore store, EventLog log) {
        this.loop = loop;
        this.node = node;
        this.upstream = upstream;
        this.store = store;
        this.log = log;
        upstream.addListener(this::record);
        store.addRestoreListener(this::recordAgain);
    }

    /**
     * Applies a report of the upstream.
     *
     * @param report the report
     * @param acknowledge acknowledges the report, called once
     */
    public void onReport(UpstreamReport report, Runnable acknowledge) {
        upstream.onReport(report);
        if (report.isLeaving()) {
            acknowledgeOnceRecorded(report.instance(), acknowledge);
        } else {
            acknowledge.run();
        }
    }

    /**
     * Applies the announcement of an incarnation that it is about to end.
     *
     * @param instance the identifier of the incarnation
     * @param startedAtMs its start time, in milliseconds since 1970, 0 if unknown
     * @param acknowledge acknowledges the announcement, called once
     */
    public void onLeave(String instance, long startedAtMs, Runnable acknowledge) {
        upstream.onLeave(instance, startedAtMs);
        acknowledgeOnceRecorded(instance, acknowledge);
    }

    /** Applies a leave that another node knows from an earlier process of this node. */
    void restoreLeave(UpstreamIncarnation left) {
        upstream.restoreLeaves(List.of(left));
        record();
    }

    /**
     * Reads the leaves that earlier processes of the node have acknowledged, and tries again until the store responds.
     *
     * @param restored called once they are known
     */
    public void start(Runnable restored) {
        onRestored = restored;
        read();
    }

    /** Returns whether the leaves that earlier processes of the node have acknowledged are known. */
    boolean isRestored() {
        return isRestored;
    }

    private void read() {
        store.readLeaves(node, SharedStore.Callback.of(this::restore, failure -> {
            log.info("event=leaves-unreadable cause=\"" + failure.cause() + "\"");
            retry(this::read);
        }));
    }

    private void restore(List<UpstreamIncarnation> leaves) {
        boolean isRecorded = upstream.getLeavesRevision() == 0;
        upstream.restoreLeaves(leaves);
        if (isRecorded) {
            recordedRevision = upstream.getLeavesRevision();
        }
        isRestored = true;
        retryDelayMs = 0;
        onRestored.run();
        record();
    }

    private void acknowledgeOnceRecorded(String instance, Runnable acknowledge) {
        PendingAcknowledgement added =
                new PendingAcknowledgement(instance, upstream.getLeavesRevision(), loop.nowMs(), acknowledge);
        pending.add(added);
        acknowledgeRecorded();
        if (pending.contains(added)) {
            loop.schedule(MAX_ACKNOWLEDGEMENT_DELAY_MS, () -> acknowledge(added, false));
            record();
        }
    }

    private void record() {
        // What earlier processes have recorded must not be replaced before it is known.
        if (!isRestored || isWriting || upstream.getLeavesRevision() == recordedRevision) {
            return;
        }
        isWriting = true;
        long revision = upstream.getLeavesRevision();
        store.writeLeaves(
                node,
                upstream.getLeaves(),
                SharedStore.Callback.of(
                        done -> {
                            isWriting = false;
                            retryDelayMs = 0;
                            recordedRevision = revision;
                            log.info("event=leaves-recorded revision=" + revision);
                            acknowledgeRecorded();
                            record();
                        },
                        failure -> {
                            isWriting = false;
                            log.info("event=leave-not-recorded cause=\"" + failure.cause() + "\"");
                            retry(this::record);
                        }));
    }

    /** Records the leaves again, as the record may be lost. */
    private void recordAgain() {
        recordedRevision = 0;
        record();
    }

    private void acknowledgeRecorded() {
        for (PendingAcknowledgement recorded : new ArrayList<>(pending)) {
            if (recorded.revision() <= recordedRevision) {
                acknowledge(recorded, true);
            }
        }
    }

    private void acknowledge(PendingAcknowledgement acknowledged, boolean isRecorded) {
        if (!pending.remove(acknowledged)) {
            return;
        }
        log.info("event=leave-acknowledged instance=" + acknowledged.instance() + " recorded=" + isRecorded
                + " took-ms=" + (loop.nowMs() - acknowledged.receivedAtMs()));
        acknowledged.acknowledge().run();
    }

    /** Repeats a call after a delay. Further calls that fail meanwhile are not repeated as well. */
    private void retry(Runnable call) {
        if (isRetryScheduled) {
            return;
        }
        isRetryScheduled = true;
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(INITIAL_RETRY_DELAY_MS, retryDelayMs * 2));
        loop.schedule(retryDelayMs / 2 + Math.round(Math.random() * retryDelayMs / 2), () -> {
            isRetryScheduled = false;
            call.run();
        });
    }

    /**
     * An acknowledgement that waits until the leave is recorded.
     *
     * @param instance the identifier of the incarnation that leaves
     * @param revision the revision of the leaves that contains it
     * @param receivedAtMs when the announcement was received, in monotonic milliseconds
     * @param acknowledge acknowledges the announcement
     */
    private record PendingAcknowledgement(String instance, long revision, long receivedAtMs, Runnable acknowledge) {}
}
