package io.cranberryarch.node.report;

import io.cranberryarch.api.Outcome;
import io.cranberryarch.base.Clock;
import io.cranberryarch.counts.CountsNames;
import io.cranberryarch.counts.CountsSource;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.counts.IncrementQueue;
import io.cranberryarch.counts.Series;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Counts outcomes and writes them to the object store in increments.
 *
 * <p>Each increment has a unique name, consisting of instance, incarnation and sequence, so that repeated writes count
 * once. Increments are retained and retried during an outage. Thread-safe; counting never waits for the store.
 */
public final class CountsReporter {

    private static final long FLUSH_INTERVAL_MS = 10_000;
    private static final int MAX_WRITES_PER_FLUSH = 2;
    private static final int SHARD_COUNT = 16;
    private static final int MAX_FINISH_ATTEMPTS = 3;

    private final ObjectStore store;
    private final CountsStore counts;
    private final Clock clock;
    private final CountsShard[] shards = new CountsShard[SHARD_COUNT];
    private final IncrementQueue queue;
    private final Object flushLock = new Object();
    private boolean isFailing;

    /**
     * Creates a reporter.
     *
     * @param identity the identity of this node
     * @param store the object store
     * @param counts aggregates the increments of past hours
     * @param clock the clock
     */
    public CountsReporter(NodeIdentity identity, ObjectStore store, CountsStore counts, Clock clock) {
        this.store = store;
        this.counts = counts;
        this.clock = clock;
        this.queue = new IncrementQueue(new CountsSource(identity.instance(), identity.incarnation(), identity.zone()));
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards[i] = new CountsShard();
        }
    }

    /**
     * Starts to write increments and to aggregate those of past hours, both at fixed intervals.
     *
     * @param blocking the executor of the writes, which may block
     */
    public void start(ScheduledExecutorService blocking) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        blocking.scheduleWithFixedDelay(
                this::flush, random.nextLong(FLUSH_INTERVAL_MS), FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
        blocking.scheduleWithFixedDelay(
                this::compact, random.nextLong(CountsNames.HOUR_MS), CountsNames.HOUR_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Counts an outcome.
     *
     * @param account the client account, the empty string on open routes
     * @param kind the kind of request
     * @param outcome the outcome
     */
    public void record(String account, String kind, Outcome outcome) {
        long minute = clock.wallMs() / CountsNames.MINUTE_MS;
        int shard = (int) (Thread.currentThread().getId() % SHARD_COUNT);
        shards[shard].add(new Series(minute, account, kind, outcome));
    }

    /**
     * Writes pending counts. Blocks.
     *
     * @return whether the store has acknowledged all counts
     */
    public boolean flush() {
        synchronized (flushLock) {
            drainShards();
            return write(MAX_WRITES_PER_FLUSH);
        }
    }

    /**
     * Writes pending counts and marks them as the last ones of this process. Blocks.
     *
     * @return whether the store has acknowledged all counts
     */
    public boolean finish() {
        synchronized (flushLock) {
            drainShards();
            queue.finish(clock.wallMs());
            for (int attempt = 0; attempt < MAX_FINISH_ATTEMPTS; attempt++) {
                if (write(Integer.MAX_VALUE)) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * Counts the increments that are not yet acknowledged by the store.
     *
     * @return the number of increments, bounded
     */
    public int getPendingIncrements() {
        synchronized (flushLock) {
            return queue.size();
        }
    }

    private void drainShards() {
        Map<Series, Long> drained = new HashMap<>();
        for (CountsShard shard : shards) {
            shard.drain().forEach((series, count) -> drained.merge(series, count, Long::sum));
        }
        queue.add(drained, clock.wallMs());
    }

    private boolean write(int maxWrites) {
        try {
            boolean isWritten = writeNext(maxWrites);
            if (isFailing) {
                Logger.info("counts-delivered");
            }
            isFailing = false;
            return isWritten;
        } catch (PlatformException e) {
            if (!isFailing) {
                Logger.info("counts-kept increments={} reason=\"{}\"", queue.size(), e.getMessage());
            }
            isFailing = true;
            return false;
        }
    }

    /** Writes increments, oldest first, and returns whether the store has acknowledged all counts. */
    private boolean writeNext(int maxWrites) throws PlatformException {
        Optional<IncrementQueue.Write> next = queue.next();
        for (int i = 0; i < maxWrites && next.isPresent(); i++) {
            IncrementQueue.Write write = next.get();
            boolean isAcknowledged = false;
            try {
                store.put(write.name(), write.content());
                isAcknowledged = true;
            } finally {
                queue.onWritten(write, isAcknowledged);
            }
            next = queue.next();
        }
        return next.isEmpty();
    }

    private void compact() {
        try {
            counts.compactRecent();
        } catch (PlatformException e) {
            Logger.warn("counts-not-compacted reason=\"{}\"", e.getMessage());
        }
    }
}
