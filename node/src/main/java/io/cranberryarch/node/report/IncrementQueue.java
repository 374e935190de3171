package io.cranberryarch.node.report;

import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The increments of this process that the store has not taken for good yet.
 *
 * <p>The open increment is written again, larger, under the same name as long as every write was acknowledged. After an
 * unacknowledged write its counts never change again, so that the late effect of an old write does no harm. The number
 * of increments kept is bounded: those never written are joined within their hour, and the oldest are dropped and said
 * so. Not thread-safe.
 */
final class IncrementQueue {

    static final long SPAN_MS = 300_000;
    static final int MAX_WAITING = 48;

    private static final long UNNUMBERED = -1;

    private final NodeIdentity identity;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long nextSequence;
    private long lost;

    IncrementQueue(NodeIdentity identity) {
        this.identity = identity;
    }

    void add(Map<CountsShard.Series, Long> counts, long nowMs) {
        counts.keySet().stream()
                .mapToLong(CountsShard.Series::minute)
                .map(minute -> minute * CountsNames.MINUTE_MS / SPAN_MS)
                .distinct()
                .sorted()
                .forEach(span -> addSpan(span, counts, nowMs));
        open(nowMs / SPAN_MS, nowMs);
        while (entries.size() > MAX_WAITING) {
            shrink();
        }
    }

    /**
     * Writes what the store has not acknowledged yet, oldest first; stops at the first failure.
     *
     * @param store the store
     * @param maxWrites the greatest number of writes
     * @return whether the store has everything
     */
    boolean write(ObjectStore store, int maxWrites) throws PlatformException {
        int writes = 0;
        Iterator<Entry> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (entry.isChanged) {
                if (writes == maxWrites) {
                    return false;
                }
                write(entry, store);
                writes++;
            }
            if (entry.isClosed) {
                iterator.remove();
            }
        }
        return true;
    }

    void finish(long nowMs) {
        Entry entry = open(nowMs / SPAN_MS, nowMs);
        entry.untilMs = nowMs;
        entry.isLast = true;
        entry.close();
    }

    int size() {
        return entries.size();
    }

    private void write(Entry entry, ObjectStore store) throws PlatformException {
        if (entry.sequence == UNNUMBERED) {
            entry.sequence = nextSequence++;
            entry.lost = lost;
            lost = 0;
        }
        Increment increment = entry.toIncrement();
        try {
            store.put(CountsNames.ofIncrement(increment), increment.toBytes());
            entry.isChanged = false;
        } catch (PlatformException e) {
            entry.close();
            throw e;
        }
    }

    private void addSpan(long span, Map<CountsShard.Series, Long> counts, long nowMs) {
        Entry entry = open(span, nowMs);
        counts.forEach((series, count) -> {
            if (series.minute() * CountsNames.MINUTE_MS / SPAN_MS == span) {
                entry.add(series, count);
            }
        });
        entry.untilMs = Math.max(entry.untilMs, nowMs);
    }

    private Entry open(long span, long nowMs) {
        Entry last = entries.peekLast();
        if (last != null && !last.isClosed && last.startMs == span * SPAN_MS) {
            return last;
        }
        if (last != null) {
            last.roll(span * SPAN_MS);
        }
        Entry fresh = new Entry(span * SPAN_MS, nowMs);
        entries.add(fresh);
        return fresh;
    }

    private void shrink() {
        Entry before = null;
        for (Entry entry : entries) {
            boolean isJoinable = before != null
                    && before.sequence == UNNUMBERED
                    && before.startMs / CountsNames.HOUR_MS == entry.startMs / CountsNames.HOUR_MS;
            if (isJoinable) {
                before.counts.forEach(entry::add);
                entries.remove(before);
                return;
            }
            before = entry;
        }
        for (Entry entry : entries) {
            if (entry.sequence == UNNUMBERED) {
                lost += entry.sum();
                entries.remove(entry);
                return;
            }
        }
    }

    /** An increment that may still change. */
    private final class Entry {

        private final long startMs;
        private final Map<CountsShard.Series, Long> counts = new HashMap<>();
        private long sequence = UNNUMBERED;
        private long untilMs;
        private long lost;
        private boolean isChanged = true;
        private boolean isClosed;
        private boolean isLast;

        Entry(long startMs, long untilMs) {
            this.startMs = startMs;
            this.untilMs = untilMs;
        }

        void roll(long nextStartMs) {
            if (!isClosed && nextStartMs > startMs) {
                untilMs = startMs + SPAN_MS;
            }
            close();
        }

        void add(CountsShard.Series series, long count) {
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
                    identity.instance(),
                    identity.incarnation(),
                    sequence,
                    identity.zone(),
                    startMs,
                    untilMs,
                    isClosed,
                    isLast,
                    lost,
                    rows);
        }
    }
}
