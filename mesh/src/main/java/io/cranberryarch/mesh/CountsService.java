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
 * Counts how requests of callers ended, and writes the counts to the platform's object store for the report about the
 * day. One write is under way at a time; what the store does not acknowledge is kept and written again.
 */
final class CountsService {

    /** The interval of writes: a call of each node to the store, which all nodes share. */
    private static final long WRITE_INTERVAL_MS = 60_000;

    /** Increments written in one interval, so that the fleet does not overload the store after an outage. */
    private static final int MAX_WRITES = 3;

    /** The most series between two writes; further ones are counted as "other". */
    private static final int MAX_SERIES = 2_000;

    private static final String OTHER = "other";
    private static final int SERVER_ERROR = 500;

    private final EventLoop loop;
    private final SharedStore store;
    private final EventLog log;
    private final IncrementQueue queue;
    private Map<Series, Long> counts = new HashMap<>();
    private boolean isWriting;
    private boolean isFailing;
    private boolean isEnding;
    private boolean isFinished;

    CountsService(EventLoop loop, SharedStore store, CountsSource source, EventLog log) {
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.queue = new IncrementQueue(source);
    }

    /** Begins to write. Nodes that start together write at different times. */
    void start() {
        loop.schedule(ThreadLocalRandom.current().nextLong(WRITE_INTERVAL_MS), () -> {
            write();
            loop.scheduleWithFixedDelay(WRITE_INTERVAL_MS, this::write);
        });
    }

    /**
     * Counts a request.
     *
     * @param account the client account, empty on routes open to all
     * @param kind the name of its route
     * @param outcome how it ended
     */
    void record(String account, String kind, Outcome outcome) {
        long minute = loop.wallMs() / CountsNames.MINUTE_MS;
        Series series = new Series(minute, account, kind, outcome);
        if (counts.size() >= MAX_SERIES && !counts.containsKey(series)) {
            series = new Series(minute, OTHER, OTHER, outcome);
        }
        counts.merge(series, 1L, Long::sum);
    }

    /** Writes what was counted and says that nothing will follow, after a write that is under way. */
    void finish() {
        isEnding = true;
        if (!isWriting && !isFinished) {
            isFinished = true;
            collect();
            queue.finish(loop.wallMs());
            writeNext(Integer.MAX_VALUE);
        }
    }

    /** Tells whether the store has everything, the end included. */
    boolean isFinished() {
        return isFinished && !isWriting && queue.next().isEmpty();
    }

    /** Counts the increments that wait for the store. */
    int countWaiting() {
        return queue.size();
    }

    /**
     * Tells the outcome that the report counts.
     *
     * @param status the status of the answer, 0 if the caller left before it
     * @param reason why the request was refused, or "answered"
     */
    static Outcome toOutcome(int status, String reason) {
        if (reason.equals("answered")) {
            return status < SERVER_ERROR ? Outcome.OK : Outcome.UPSTREAM_ERROR;
        }
        return switch (status) {
            case 429 -> Outcome.OVER_RATE;
            case 503 -> reason.startsWith("overload") ? Outcome.SHED : Outcome.UNAVAILABLE;
            case 0, 502, 504 -> Outcome.UNKNOWN;
            default -> Outcome.CLIENT_ERROR;
        };
    }

    /** Writes what was counted since the last write, unless one is under way. */
    void write() {
        if (!isWriting && !isEnding) {
            collect();
            writeNext(MAX_WRITES);
        }
    }

    private void collect() {
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
                            finishIfEnding();
                            if (!isWriting) {
                                writeNext(maxWrites - 1);
                            }
                        },
                        failure -> {
                            onWritten(write, false, failure.cause());
                            finishIfEnding();
                        }));
    }

    private void finishIfEnding() {
        if (isEnding) {
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
