package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class UpstreamRateLimitTest {

    private static final long WINDOW_MS = 4_000;

    /** How far the requests of a window may exceed the limit, as a ratio and as a number of requests. */
    private static final double MAX_RATIO = 1.5;

    private static final int MAX_ADDITIONAL_REQUESTS = 5;

    private final UpstreamRateLimit limit = new UpstreamRateLimit();

    /** Guards against bursts beyond the limit, whatever the pauses of requests, and after a restart of the node. */
    @Property(tries = 300, seed = "1")
    void requestsOfEachWindowStayWithinTheLimit(
            @ForAll @DoubleRange(max = 200) double ratePerS,
            @ForAll @Size(min = 20, max = 400) List<@IntRange(max = 300) Integer> pausesMs,
            @ForAll @IntRange(max = 400) int restartIndex) {
        UpstreamRateLimit current = new UpstreamRateLimit();
        current.onResponse(0, Optional.of(ratePerS), 0);
        List<Long> sentAtMs = new ArrayList<>();
        long nowMs = 0;
        for (int i = 0; i < pausesMs.size(); i++) {
            nowMs += pausesMs.get(i);
            if (i == restartIndex) {
                current = new UpstreamRateLimit();
                current.restore(ratePerS, nowMs);
            }
            while (current.tryAcquire(nowMs)) {
                sentAtMs.add(nowMs);
            }
        }
        double allowed = MAX_RATIO * ratePerS * WINDOW_MS / 1_000 + MAX_ADDITIONAL_REQUESTS;
        for (long startMs : sentAtMs) {
            long count = sentAtMs.stream()
                    .filter(atMs -> atMs >= startMs && atMs <= startMs + WINDOW_MS)
                    .count();
            assertTrue(count <= allowed, count + " requests, allowed " + allowed);
        }
    }

    @Test
    void requestsAreNotLimitedUnlessTheUpstreamNamesALimit() {
        limit.onResponse(0, Optional.empty(), 10);
        for (int i = 0; i < 1_000; i++) {
            assertTrue(limit.tryAcquire(10));
        }
        assertEquals(0, limit.toWaitMs(100, 10));
        assertEquals(20, limit.toConcurrency(20, 50, 10));
    }

    @Test
    void responseWithoutALimitEndsIt() {
        limit.onResponse(0, Optional.of(2.0), 100);
        assertFalse(limit.tryAcquire(100));
        limit.onResponse(100, Optional.empty(), 200);
        assertEquals(Optional.empty(), limit.getRatePerS());
        assertTrue(limit.tryAcquire(200));
    }

    /** Guards against a limit that ends by a response which the upstream made before it named the limit. */
    @Test
    void responseThatWasOvertakenDoesNotRaiseTheLimit() {
        limit.onResponse(50, Optional.of(2.0), 100);
        limit.onResponse(40, Optional.empty(), 110);
        limit.onResponse(99, Optional.of(5.0), 120);
        assertEquals(Optional.of(2.0), limit.getRatePerS());
        limit.onResponse(99, Optional.of(1.0), 130);
        assertEquals(Optional.of(1.0), limit.getRatePerS());
        limit.onResponse(129, Optional.empty(), 140);
        assertEquals(Optional.of(1.0), limit.getRatePerS());
        limit.onResponse(130, Optional.of(5.0), 150);
        assertEquals(Optional.of(5.0), limit.getRatePerS());
    }

    /** Guards against a limit of 0 that never ends, as no response can end it. */
    @Test
    void limitOfZeroStillPermitsSomeRequests() {
        limit.onResponse(0, Optional.of(0.0), 0);
        assertFalse(limit.tryAcquire(0));
        int sent = 0;
        for (long nowMs = 0; nowMs < WINDOW_MS; nowMs += 10) {
            sent += limit.tryAcquire(nowMs) ? 1 : 0;
        }
        assertTrue(sent > 0 && sent <= MAX_ADDITIONAL_REQUESTS, "sent " + sent);
    }

    @Test
    void waitingTimeGrowsWithTheQueue() {
        limit.onResponse(0, Optional.of(10.0), 0);
        assertEquals(100, limit.toWaitMs(0, 0), 1e-9);
        assertEquals(400, limit.toWaitMs(3, 0), 1e-9);
        assertEquals(0, limit.toWaitMs(0, 100), 1e-9);
    }

    @Test
    void concurrencyAtTheLimitFollowsTheDuration() {
        limit.onResponse(0, Optional.of(20.0), 0);
        assertEquals(2, limit.toConcurrency(100, 100, 0), 1e-9);
        assertEquals(100, limit.toConcurrency(100, 60_000, 0), 1e-9);
    }

    /** Guards against an upstream that is never selected again, so that no response can end its limit. */
    @Test
    void upstreamWithoutRequestsIsSelectedAgain() {
        limit.onResponse(0, Optional.of(0.0), 0);
        assertTrue(limit.toConcurrency(100, 100, 1_999) < 1);
        assertEquals(100, limit.toConcurrency(100, 100, 2_000));
        assertTrue(limit.tryAcquire(2_000));
        assertTrue(limit.toConcurrency(100, 100, 2_000) < 1);
    }

    @Test
    void limitOfAnotherNodeAppliesUntilTheUpstreamResponds() {
        limit.restore(4, 0);
        limit.restore(2, 0);
        limit.restore(3, 0);
        assertEquals(Optional.of(2.0), limit.getRatePerS());
        assertFalse(limit.isConfirmed());
        limit.onResponse(0, Optional.empty(), 10);
        limit.restore(2, 20);
        assertEquals(Optional.empty(), limit.getRatePerS());
    }

    @Test
    void anotherIncarnationHasNoLimit() {
        limit.onResponse(0, Optional.of(2.0), 10);
        limit.reset();
        assertTrue(limit.tryAcquire(10));
        assertFalse(limit.isConfirmed());
    }
}
