package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryAfterTrackerTest {

    private final RetryAfterTracker tracker = new RetryAfterTracker();

    @Test
    void callerThatWaitsTakesPrecedenceOnce() {
        tracker.onRefused(1, 1_000, 1_800);
        assertTrue(tracker.consumeHonoredRefusal(1, 1_800));
        assertFalse(tracker.consumeHonoredRefusal(1, 1_801));
    }

    @Test
    void callerThatRetriesImmediatelyTakesNoPrecedence() {
        tracker.onRefused(1, 1_000, 1_800);
        assertFalse(tracker.consumeHonoredRefusal(1, 1_010));
    }

    @Test
    void newAndLateCallersTakeNoPrecedence() {
        tracker.onRefused(1, 1_000, 1_800);
        assertFalse(tracker.consumeHonoredRefusal(2, 1_800));
        assertFalse(tracker.consumeHonoredRefusal(1, 10_000));
    }

    @Test
    void numberOfRefusalsIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            tracker.onRefused(i, 1_000, 1_800);
        }
        assertFalse(tracker.consumeHonoredRefusal(1, 1_800));
        assertTrue(tracker.consumeHonoredRefusal(19_999, 1_800));
    }
}
