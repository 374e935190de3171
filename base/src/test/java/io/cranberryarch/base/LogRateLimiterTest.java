package io.cranberryarch.base;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

    @Test
    void linesBeyondTheLimitWaitForTheNextSecond() {
        LogRateLimiter limit = new LogRateLimiter(2);
        assertTrue(limit.tryAcquire(5_000));
        assertTrue(limit.tryAcquire(5_500));
        assertFalse(limit.tryAcquire(5_999));
        assertTrue(limit.tryAcquire(6_000));
    }

    @Test
    void changedLimitHoldsAtOnce() {
        LogRateLimiter limit = new LogRateLimiter(1);
        assertTrue(limit.tryAcquire(5_000));
        limit.setLinesPerSecond(2);
        assertTrue(limit.tryAcquire(5_000));
        assertFalse(limit.tryAcquire(5_000));
    }
}
