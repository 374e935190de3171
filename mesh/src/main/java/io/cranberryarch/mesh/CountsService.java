package io.cranberryarch.mesh;

import io.cranberryarch.api.Outcome;
import io.cranberryarch.counts.CountsNames;
import io.cranberryarch.counts.CountsSource;
import io.cranberryarch.counts.IncrementQueue;
import io.cranberryarch.counts.Series;
import io.cranberryarch.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Counts the outcomes of callers' requests, and writes the counts to the platform's object store for the daily report.
 * One write is in progress at a time; increments that the store does not acknowledge are kept and written again.
 */
final class CountsService {

    /** Interval of writes; each write is a call of the node to the store, which all nodes share. */
    private static final long WRITE_INTERVAL_MS = 60_000;

    /** Maximum number of writes per interval, so that the fleet does not overload the store after an outage. */
    private static final int MAX_WRITES_PER_INTERVAL = 3;

    /** Maximum delay of the repeated write once the store has returned from an older copy. */
    private static final long MAX_REPEAT_DELAY_MS = 5_000;

    /** Maximum number of series between two writes; further series are counted as "other". */
    private static final int MAX_SERIES = 2_000;

    private static final String OTHER = "other";
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final EventLoop loop;
    private final SharedStore store;
    private final EventLog log;
    private final IncrementQueue queue;
    private Map<Series, Long> counts = new HashMap<>();
    private boolean isWriting;
    private boolean isFailing;
    private boolean isFinishRequested;
    private boolean isFinished;

    CountsService(EventLoop loop, SharedStore store, CountsSource source, EventLog log) {
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.queue = new IncrementQueue(source);
        store.addRestoreListener(this::writeAgain);
    }

    /** Starts periodic writes. The random delay spreads the writes of nodes that start together. */
    void start() {
        loop.schedule(ThreadLocalRandom.current().nextLong(WRITE_INTERVAL_MS), () -> {
            write();
            loop.scheduleWithFixedDelay(WRITE_INTERVAL_MS, this::write);
        });
    }

    /**
     * Records a request.
     *
     * @param account the client account, empty on routes open to all
     * @param kind the name of its route
     * @param outcome the outcome of the request
     */
    void record(String account, String kind, Outcome outcome) {
        long minute = loop.wallMs() / CountsNames.MINUTE_MS;
        Series series = new Series(minute, account, kind, outcome);
        if (counts.size() >= MAX_SERIES && !counts.containsKey(series)) {
            series = new Series(minute, OTHER, OTHER, outcome);
        }
        counts.merge(series, 1L, Long::sum);
    }

    /** Writes the remaining counts and a final increment, after the write in progress if there is one. */
    void finish() {
        isFinishRequested = true;
        if (!isWriting && !isFinished) {
            isFinished = true;
            enqueueCounts();
            queue.finish(loop.wallMs());
            writeNext(Integer.MAX_VALUE);
        }
    }

    /** Returns whether the store has acknowledged all increments, including the final one. */
    boolean isFinished() {
        return isFinished && !isWriting && queue.next().isEmpty();
    }

    /** Returns the number of increments that wait for the store. */
    int countWaiting() {
        return queue.size();
    }

    /**
     * Returns the outcome that the report counts.
     *
     * @param status the status of the response, 0 if the caller disconnected before it
     * @param reason why the request was refused, or "answered"
     */
    static Outcome toOutcome(int status, String reason) {
        if (reason.equals("answered")) {
            return status < MIN_SERVER_ERROR_STATUS ? Outcome.OK : Outcome.UPSTREAM_ERROR;
        }
        return switch (status) {
            case 429 -> Outcome.OVER_RATE;
            case 503 -> reason.startsWith("overload") ? Outcome.SHED : Outcome.UNAVAILABLE;
            case 0, 502, 504 -> Outcome.UNKNOWN;
            default -> Outcome.CLIENT_ERROR;
        };
    }

    /** Writes the counts since the last write, unless a write is in progress. */
    void write() {
        if (!isWriting && !isFinishRequested) {
            enqueueCounts();
            writeNext(MAX_WRITES_PER_INTERVAL);
        }
    }

    /** Writes the increments that the store has acknowledged again, as they may be lost. */
    private void writeAgain() {
        // Nodes notice a return at about the same time.
        loop.schedule(ThreadLocalRandom.current().nextLong(MAX_REPEAT_DELAY_MS), () -> {
            queue.repeatAcknowledged();
            write();
        });
    }

    private void enqueueCounts() {
        queue.add(counts, loop.wallMs());
        counts = new HashMap<>();
    }

    private void writeNext(int maxWrites) {
        Optional<IncrementQueue.Write> next = queue.next();
        if (next.isEmpty() || maxWrites == 0) {
            return;
        }
        IncrementQueue.Write write = next.get();
        isWriting = true;
        store.writeObject(
                write.name(),
                write.content(),
                SharedStore.Callback.of(
                        done -> {
                            onWritten(write, true, "");
                            finishIfRequested();
                            if (!isWriting) {
                                writeNext(maxWrites - 1);
                            }
                        },
                        failure -> {
                            onWritten(write, false, failure.cause());
                            finishIfRequested();
                        }));
    }

    private void finishIfRequested() {
        if (isFinishRequested) {
            finish();
        }
    }

    private void onWritten(IncrementQueue.Write write, boolean isAcknowledged, String cause) {
        isWriting = false;
        queue.onWritten(write, isAcknowledged);
        if (isAcknowledged == isFailing) {
            isFailing = !isAcknowledged;
            log.info(
                    isFailing
                            ? "event=counts-kept increments=" + queue.size() + " cause=\"" + cause + "\""
                            : "event=counts-delivered increments=" + queue.size());
        }
    }
}
