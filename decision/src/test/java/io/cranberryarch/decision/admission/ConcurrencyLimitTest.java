package io.cranberryarch.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ConcurrencyLimitTest {

    private static final int SLOTS = 170;

    @Property(tries = 50, seed = "1")
    void limitConvergesToTheWorkersOfAnUpstreamThatDeclaresMoreSlots(
            @ForAll @IntRange(min = 4, max = 40) int workers, @ForAll @IntRange(min = 5, max = 50) int workMs) {
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0);
        long nowMs = run(limit, workers, workMs, 0);
        assertTrue(isCloseTo(limit, workers), workers + " workers, limit " + limit.getLimit());
        run(limit, workers, 4 * workMs, nowMs);
        assertTrue(isCloseTo(limit, workers), workers + " slow workers, limit " + limit.getLimit());
    }

    private static boolean isCloseTo(ConcurrencyLimit limit, int workers) {
        return limit.getLimit() >= 0.6 * workers && limit.getLimit() <= 3 * workers;
    }

    /** Keeps the limit fully used for a minute; calls in excess of the workers queue. */
    private static long run(ConcurrencyLimit limit, int workers, int workMs, long startMs) {
        double nowMs = startMs;
        while (nowMs < startMs + 60_000) {
            int working = limit.getLimit();
            double latencyMs = workMs * Math.max(1.0, (double) working / workers);
            nowMs += latencyMs / working;
            limit.record(Math.round(latencyMs), false, working, (long) nowMs);
        }
        return (long) nowMs;
    }
}
