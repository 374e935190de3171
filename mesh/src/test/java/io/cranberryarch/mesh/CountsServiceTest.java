package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.base.Clock;
import io.cranberryarch.counts.CountsSource;
import io.cranberryarch.counts.CountsSum;
import io.cranberryarch.counts.Increment;
import io.cranberryarch.net.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CountsServiceTest {

    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final FakeStore store = new FakeStore();
    private EventLoop loop;
    private Thread thread;
    private EventLog log;
    private FakeStore.View view;
    private CountsService counts;

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop(Clock.system());
        log = new EventLog(1_000, lines::add);
        view = store.connect(loop);
        counts = new CountsService(loop, view, new CountsSource("node-a", 7, "zone-a"), log);
        thread = new Thread(loop::run, "loop");
        thread.start();
    }

    @AfterEach
    void stop() throws Exception {
        loop.close();
        thread.join();
        log.close();
    }

    @Test
    void writesRemainingCountsOnFinish() throws Exception {
        loop.execute(() -> {
            counts.record("ana", "order", Outcome.OK);
            counts.record("ana", "order", Outcome.OK);
            counts.record("", "open", Outcome.SHED);
            counts.finish();
        });
        TestFleet.await(() -> sum().sources().stream().anyMatch(CountsBody.Source::isFinished));
        assertEquals(2, count("ana", Outcome.OK));
        assertEquals(1, count("", Outcome.SHED));
    }

    @Test
    void writesFinalIncrementAfterWriteInProgress() throws Exception {
        loop.execute(() -> {
            counts.record("ana", "order", Outcome.OK);
            counts.write();
            counts.record("ana", "order", Outcome.OK);
            counts.finish();
        });
        TestFleet.await(() -> sum().sources().stream().anyMatch(CountsBody.Source::isFinished));
        assertEquals(2, count("ana", Outcome.OK));
    }

    /** Guards against counting twice after an unacknowledged write, which may have taken effect or take effect later. */
    @Test
    void keepsUnacknowledgedCountsInOneIncrement() throws Exception {
        view.setUnavailable(true);
        loop.execute(() -> {
            counts.record("ana", "order", Outcome.OK);
            counts.finish();
        });
        TestFleet.await(() -> lines.stream().anyMatch(line -> line.contains("event=counts-kept")));
        assertTrue(store.getObjects().isEmpty());
        loop.execute(() -> assertFalse(counts.isFinished()));
        assertEquals(1, countWaiting());
    }

    /** Guards against counts that are missing from the report, as the store has returned from an older copy. */
    @Test
    void writesAcknowledgedCountsAgainOnceTheStoreIsRestored() throws Exception {
        loop.execute(() -> {
            counts.record("ana", "order", Outcome.OK);
            counts.write();
        });
        TestFleet.await(() -> count("ana", Outcome.OK) == 1);
        store.restore();
        TestFleet.await(() -> count("ana", Outcome.OK) == 1);
        loop.execute(() -> {
            counts.record("ana", "order", Outcome.OK);
            counts.finish();
        });
        TestFleet.await(() -> sum().sources().stream().anyMatch(CountsBody.Source::isFinished));
        assertEquals(2, count("ana", Outcome.OK));
    }

    @Test
    void countsCallerRequestsOnceWithoutNestedCalls() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            assertEquals(
                    200,
                    TestFleet.get(fleet.send(member, "GET", "/read/1", "key-of-ana"))
                            .statusCode());
            assertEquals(
                    401,
                    TestFleet.get(fleet.send(member, "GET", "/read/1", "wrong")).statusCode());
            member.loop().execute(member.node()::stop);
            fleet.awaitLine("event=node-stopped .*counts-written=true");
            CountsBody body = sum(fleet.getObjects());
            assertEquals(1, count(body, "ana", Outcome.OK));
            assertEquals(1, count(body, "", Outcome.CLIENT_ERROR));
            assertTrue(body.sources().get(0).isFinished());
        }
    }

    @Test
    void outcomeFollowsStatusAndReason() {
        assertEquals(Outcome.OK, CountsService.toOutcome(200, "answered"));
        assertEquals(Outcome.OK, CountsService.toOutcome(404, "answered"));
        assertEquals(Outcome.UPSTREAM_ERROR, CountsService.toOutcome(500, "answered"));
        assertEquals(Outcome.OVER_RATE, CountsService.toOutcome(429, "over-rate"));
        assertEquals(Outcome.SHED, CountsService.toOutcome(503, "overload-of-stock"));
        assertEquals(Outcome.SHED, CountsService.toOutcome(503, "overloaded"));
        assertEquals(Outcome.UNAVAILABLE, CountsService.toOutcome(503, "no-instance"));
        assertEquals(Outcome.UNKNOWN, CountsService.toOutcome(504, "timeout"));
        assertEquals(Outcome.UNKNOWN, CountsService.toOutcome(0, "caller-left"));
        assertEquals(Outcome.CLIENT_ERROR, CountsService.toOutcome(401, "key-rejected"));
    }

    private int countWaiting() throws Exception {
        CompletableFuture<Integer> waiting = new CompletableFuture<>();
        loop.execute(() -> waiting.complete(counts.countWaiting()));
        return TestFleet.get(waiting);
    }

    private CountsBody sum() throws Exception {
        return sum(store.getObjects());
    }

    private static CountsBody sum(Map<String, byte[]> objects) throws Exception {
        CountsSum sum = new CountsSum();
        for (byte[] content : objects.values()) {
            sum.add(Increment.of(content));
        }
        return sum.toBody();
    }

    private long count(String account, Outcome outcome) throws Exception {
        return count(sum(), account, outcome);
    }

    private static long count(CountsBody body, String account, Outcome outcome) {
        return body.totals().stream()
                .filter(row -> row.account().equals(account) && row.outcome() == outcome)
                .mapToLong(CountsBody.Row::count)
                .sum();
    }
}
