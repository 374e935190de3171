package io.cranberryarch.node.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.CountsBody;
import io.cranberryarch.base.Clock;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.platform.ObjectStore;
import io.cranberryarch.platform.PlatformException;
import java.io.IOException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Counts outcomes and writes them to the object store in increments.
 *
 * <p>Each increment has a name of its own made of instance, incarnation and sequence, so that writing it again counts
 * it once. Increments are kept and written again through an outage. Thread-safe.
 */
public final class CountsReporter {

    private static final String PREFIX = "counts/";
    private static final long FLUSH_INTERVAL_MS = 1_000;
    private static final int MAX_WAITING = 10_000;

    private final NodeIdentity identity;
    private final ObjectStore store;
    private final Clock clock;
    private final Map<Series, Long> counts = new HashMap<>();
    private final Deque<Increment> waiting = new ArrayDeque<>();
    private long sequence;

    /**
     * Creates a reporter.
     *
     * @param identity who this node is
     * @param store the object store
     * @param clock the clock
     */
    public CountsReporter(NodeIdentity identity, ObjectStore store, Clock clock) {
        this.identity = identity;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Starts to write increments.
     *
     * @param blocking runs the writes, may block
     */
    public void start(ScheduledExecutorService blocking) {
        blocking.scheduleWithFixedDelay(this::flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Counts an outcome.
     *
     * @param account the client account, empty on routes open to all
     * @param kind the kind of request
     * @param outcome the outcome
     */
    public synchronized void record(String account, String kind, String outcome) {
        counts.merge(new Series(account, kind, outcome), 1L, Long::sum);
    }

    /** Writes what was counted. Blocks. */
    public void flush() {
        cut();
        for (Increment next = waiting.peek(); next != null; next = waiting.peek()) {
            try {
                store.put(next.name, next.content);
                waiting.remove();
            } catch (PlatformException e) {
                Logger.debug("counts-kept waiting={} reason=\"{}\"", waiting.size(), e.getMessage());
                return;
            }
        }
    }

    /**
     * Sums all increments of a day. Blocks.
     *
     * @param day the day as YYYY-MM-DD
     * @return the sums
     * @throws PlatformException if the store gives no answer
     */
    public CountsBody readDay(String day) throws PlatformException {
        Map<CountsBody.Row, Long> sums = new HashMap<>();
        for (String name : store.listObjects(PREFIX + day + "/")) {
            Optional<byte[]> content = store.getObject(name);
            if (content.isEmpty()) {
                continue;
            }
            for (CountsBody.Row row : read(content.get()).rows()) {
                CountsBody.Row key = new CountsBody.Row(row.account(), row.kind(), row.zone(), row.outcome(), 0);
                sums.merge(key, row.count(), Long::sum);
            }
        }
        List<CountsBody.Row> rows = new ArrayList<>();
        for (Map.Entry<CountsBody.Row, Long> entry : sums.entrySet()) {
            CountsBody.Row key = entry.getKey();
            rows.add(new CountsBody.Row(key.account(), key.kind(), key.zone(), key.outcome(), entry.getValue()));
        }
        return new CountsBody(rows);
    }

    private synchronized void cut() {
        if (counts.isEmpty() || waiting.size() >= MAX_WAITING) {
            return;
        }
        List<CountsBody.Row> rows = new ArrayList<>();
        for (Map.Entry<Series, Long> entry : counts.entrySet()) {
            Series key = entry.getKey();
            rows.add(new CountsBody.Row(key.account, key.kind, identity.zone(), key.outcome, entry.getValue()));
        }
        try {
            waiting.add(new Increment(toName(), ApiJson.MAPPER.writeValueAsBytes(new CountsBody(rows))));
            counts.clear();
        } catch (JsonProcessingException e) {
            Logger.error(e, "counts-not-written");
        }
    }

    private String toName() {
        String day = Instant.ofEpochMilli(clock.wallMs())
                .atOffset(ZoneOffset.UTC)
                .toLocalDate()
                .toString();
        return PREFIX + day + "/" + identity.instance() + "/" + identity.incarnation() + "/" + sequence++;
    }

    private static CountsBody read(byte[] content) throws PlatformException {
        try {
            return ApiJson.MAPPER.readValue(content, CountsBody.class);
        } catch (IOException e) {
            throw new PlatformException("an increment cannot be read", e);
        }
    }

    /** What is counted separately. */
    private record Series(String account, String kind, String outcome) {}

    /** An increment that waits to be written. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Increment(String name, byte[] content) {}
}
