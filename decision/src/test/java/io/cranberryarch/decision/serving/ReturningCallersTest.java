package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReturningCallersTest {

    private final ReturningCallers callers = new ReturningCallers();

    @Test
    void callerThatWaitsGoesFirstOnce() {
        callers.onRefused(1, 1_000, 1_800);
        assertTrue(callers.isReturning(1, 1_800));
        assertFalse(callers.isReturning(1, 1_801));
    }

    @Test
    void callerThatRepeatsAtOnceDoesNot() {
        callers.onRefused(1, 1_000, 1_800);
        assertFalse(callers.isReturning(1, 1_010));
    }

    @Test
    void newAndLateCallersDoNot() {
        callers.onRefused(1, 1_000, 1_800);
        assertFalse(callers.isReturning(2, 1_800));
        assertFalse(callers.isReturning(1, 10_000));
    }

    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            callers.onRefused(i, 1_000, 1_800);
        }
        assertFalse(callers.isReturning(1, 1_800));
        assertTrue(callers.isReturning(19_999, 1_800));
    }
}
