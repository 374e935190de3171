package io.cranberryarch.base;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LineLimitTest {

    @Test
    void linesBeyondTheLimitWaitForTheNextSecond() {
        LineLimit limit = new LineLimit(2);
        assertTrue(limit.tryLine(5_000));
        assertTrue(limit.tryLine(5_500));
        assertFalse(limit.tryLine(5_999));
        assertTrue(limit.tryLine(6_000));
    }

    @Test
    void changedLimitHoldsAtOnce() {
        LineLimit limit = new LineLimit(1);
        assertTrue(limit.tryLine(5_000));
        limit.setLinesPerS(2);
        assertTrue(limit.tryLine(5_000));
        assertFalse(limit.tryLine(5_000));
    }
}
