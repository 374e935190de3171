package io.cranberryarch.counts;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queues the increments of this process until the store has acknowledged their final state.
 *
 * <p>The open increment is written again, larger, under the same name as long as every write was acknowledged. After an
 * unacknowledged write its counts never change again, so that the write is harmless if it takes effect late. The number
 * of increments is bounded: those never written are merged within their hour, then the oldest of them are dropped and
 * their requests are counted as lost. Not thread-safe.
 */
public final class IncrementQueue {

    /** The time span of one increment, in milliseconds. */
    public static final long INCREMENT_SPAN_MS = 300_000;
    /** The maximum number of increments in the queue. */
    public static final int MAX_QUEUED_INCREMENTS = 48;

    /** The maximum number of acknowledged increments that are kept, to be written again if the store loses them. */
    private static final int MAX_RETAINED_INCREMENTS = 4;

    private static final long NO_SEQUENCE = -1;

    private final CountsSource source;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private final Deque<Entry> retained = new ArrayDeque<>();
    private long nextSequence;
    private long lost;

    /**
     * Creates a queue.
     *
     * @param source the process that counts
     */
    public IncrementQueue(CountsSource source) {
        this.source = source;
    }

    /**
     * Adds counts. Must not be called while a write is in progress.
     *
     * @param counts the number of requests by series
     * @param nowMs the wall clock time in milliseconds since 1970
     */
    public void add(Map<Series, Long> counts, long nowMs) {
        counts.keySet().stream()
                .mapToLong(Series::minute)
                .map(minute -> minute * CountsNames.MINUTE_MS / INCREMENT_SPAN_MS)
                .distinct()
                .sorted()
                .forEach(span -> addSpan(span, counts, nowMs));
        open(nowMs / INCREMENT_SPAN_MS, nowMs);
        while (entries.size() > MAX_QUEUED_INCREMENTS) {
            shrink();
        }
    }

    /**
     * Returns the next write: the oldest increment whose current state the store has not acknowledged.
     *
     * @return the write, or empty if the store has acknowledged everything
     */
    public Optional<Write> next() {
        retainAcknowledged();
        for (Entry entry : entries) {
            if (entry.isChanged) {
                return Optional.of(toWrite(entry));
            }
        }
        return Optional.empty();
    }

    /** Queues the last acknowledged increments again, unchanged, as the store may have lost them. */
    public void repeatAcknowledged() {
        for (Entry entry : entries) {
            entry.isChanged |= entry.sequence != NO_SEQUENCE;
        }
        while (!retained.isEmpty()) {
            Entry last = retained.removeLast();
            last.isChanged = true;
            entries.addFirst(last);
        }
    }

    /**
     * Records the outcome of a write. Must be called before anything else is added.
     *
     * @param write the write that {@link #next} returned
     * @param isAcknowledged whether the store has acknowledged it; otherwise it may still take effect
     */
    public void onWritten(Write write, boolean isAcknowledged) {
        Optional<Entry> written = entries.stream()
                .filter(entry -> entry.sequence == write.sequence())
                .findFirst();
        if (isAcknowledged) {
            written.ifPresent(entry -> entry.isChanged = false);
        } else {
            written.ifPresent(Entry::close);
        }
    }

    /**
     * Adds the last increment, which marks the end of the counts of this process.
     *
     * @param nowMs the wall clock time in milliseconds since 1970
     */
    public void finish(long nowMs) {
        Entry entry = open(nowMs / INCREMENT_SPAN_MS, nowMs);
        entry.untilMs = nowMs;
        entry.isLast = true;
        entry.close();
    }

    /**
     * Returns the number of increments in the queue.
     *
     * @return the number of increments, at most {@link #MAX_QUEUED_INCREMENTS}
     */
    public int size() {
        return entries.size();
    }

    /** Removes the closed increments that were acknowledged from the queue, and keeps the last ones of them. */
    private void retainAcknowledged() {
        Iterator<Entry> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (entry.isClosed && !entry.isChanged) {
                iterator.remove();
                retained.addLast(entry);
            }
        }
        while (retained.size() > MAX_RETAINED_INCREMENTS) {
            retained.removeFirst();
        }
    }

    private Write toWrite(Entry entry) {
        if (entry.sequence == NO_SEQUENCE) {
            entry.sequence = nextSequence++;
            entry.lost = lost;
            lost = 0;
        }
        Increment increment = entry.toIncrement();
        return new Write(entry.sequence, CountsNames.ofIncrement(increment), increment.toBytes());
    }

    private void addSpan(long span, Map<Series, Long> counts, long nowMs) {
        Entry entry = open(span, nowMs);
        counts.forEach((series, count) -> {
            if (series.minute() * CountsNames.MINUTE_MS / INCREMENT_SPAN_MS == span) {
                entry.add(series, count);
            }
        });
        entry.untilMs = Math.max(entry.untilMs, nowMs);
    }

    private Entry open(long span, long nowMs) {
        Entry last = entries.peekLast();
        if (last != null && !last.isClosed && last.startMs == span * INCREMENT_SPAN_MS) {
            return last;
        }
        if (last != null) {
            last.closeAtSpanEnd(span * INCREMENT_SPAN_MS);
        }
        Entry added = new Entry(span * INCREMENT_SPAN_MS, nowMs);
        entries.add(added);
        return added;
    }

    private void shrink() {
        Entry before = null;
        for (Entry entry : entries) {
            boolean isMergeable = before != null
                    && before.sequence == NO_SEQUENCE
                    && before.startMs / CountsNames.HOUR_MS == entry.startMs / CountsNames.HOUR_MS;
            if (isMergeable) {
                before.counts.forEach(entry::add);
                entries.remove(before);
                return;
            }
            before = entry;
        }
        for (Entry entry : entries) {
            if (entry.sequence == NO_SEQUENCE) {
                lost += entry.sum();
                entries.remove(entry);
                return;
            }
        }
    }

    /**
     * An increment to be written.
     *
     * @param sequence the sequence number of the increment
     * @param name the name of the object
     * @param content the content of the object
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Write(long sequence, String name, byte[] content) {}

    /** An increment that may still change. */
    private final class Entry {

        private final long startMs;
        private final Map<Series, Long> counts = new HashMap<>();
        private long sequence = NO_SEQUENCE;
        private long untilMs;
        private long lost;
        private boolean isChanged = true;
        private boolean isClosed;
        private boolean isLast;

        Entry(long startMs, long untilMs) {
            this.startMs = startMs;
            this.untilMs = untilMs;
        }

        void closeAtSpanEnd(long nextStartMs) {
            if (!isClosed && nextStartMs > startMs) {
                untilMs = startMs + INCREMENT_SPAN_MS;
            }
            close();
        }

        void add(Series series, long count) {
            counts.merge(series, count, Long::sum);
            isChanged = true;
        }

        void close() {
            isChanged |= !isClosed;
            isClosed = true;
        }

        long sum() {
            return counts.values().stream().mapToLong(Long::longValue).sum();
        }

        Increment toIncrement() {
            List<Increment.Row> rows = new ArrayList<>();
            counts.forEach((series, count) -> rows.add(
                    new Increment.Row(series.minute(), series.account(), series.kind(), series.outcome(), count)));
            return new Increment(
                    source.instance(),
                    source.incarnation(),
                    sequence,
                    source.zone(),
                    startMs,
                    untilMs,
                    isClosed,
                    isLast,
                    lost,
                    rows);
        }
    }
}
