package io.cranberryarch.base;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

    @Test
    void linesOverTheLimitAreRejectedUntilTheNextSecond() {
        LogRateLimiter limiter = new LogRateLimiter(2);
        assertTrue(limiter.tryAcquire(5_000));
        assertTrue(limiter.tryAcquire(5_500));
        assertFalse(limiter.tryAcquire(5_999));
        assertTrue(limiter.tryAcquire(6_000));
    }

    @Test
    void changedLimitAppliesImmediately() {
        LogRateLimiter limiter = new LogRateLimiter(1);
        assertTrue(limiter.tryAcquire(5_000));
        limiter.setLinesPerSecond(2);
        assertTrue(limiter.tryAcquire(5_000));
        assertFalse(limiter.tryAcquire(5_000));
    }
}
