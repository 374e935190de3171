package io.cranberryarch.decision.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class RetryRatioTest {

    private static final int INITIAL_RETRIES = 10;

    @Property(tries = 200, seed = "1")
    void retriesStayWithinATenthOfFirstAttemptsPlusInitialAllowance(@ForAll boolean[] isRetry) {
        RetryRatio ratio = new RetryRatio();
        int first = 0;
        int retries = 0;
        for (boolean retry : isRetry) {
            for (int i = 0; i < 5; i++) {
                if (!retry) {
                    ratio.addFirstAttempt();
                    first++;
                } else if (ratio.trySpend()) {
                    retries++;
                }
            }
            assertTrue(10 * retries <= first + 10 * INITIAL_RETRIES);
        }
    }

    @Property(tries = 200, seed = "1")
    void jitterNeverShortensAWait(@ForAll @LongRange(min = 1, max = 100_000) long waitMs, @ForAll long bits) {
        long jitteredMs = RetryAfter.toJitteredMs(waitMs, bits);
        assertTrue(jitteredMs >= waitMs && jitteredMs < 2 * waitMs);
    }
}
