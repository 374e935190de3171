package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryAfterTrackerTest {

    private final RetryAfterTracker callers = new RetryAfterTracker();

    @Test
    void callerThatWaitsGoesFirstOnce() {
        callers.onRefused(1, 1_000, 1_800);
        assertTrue(callers.consumeHonored(1, 1_800));
        assertFalse(callers.consumeHonored(1, 1_801));
    }

    @Test
    void callerThatRepeatsAtOnceDoesNot() {
        callers.onRefused(1, 1_000, 1_800);
        assertFalse(callers.consumeHonored(1, 1_010));
    }

    @Test
    void newAndLateCallersDoNot() {
        callers.onRefused(1, 1_000, 1_800);
        assertFalse(callers.consumeHonored(2, 1_800));
        assertFalse(callers.consumeHonored(1, 10_000));
    }

    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            callers.onRefused(i, 1_000, 1_800);
        }
        assertFalse(callers.consumeHonored(1, 1_800));
        assertTrue(callers.consumeHonored(19_999, 1_800));
    }
}
