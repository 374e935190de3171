package io.cranberryarch.decision.retry;

/**
 * Bounds the retries to one destination by a share of the first attempts to it. Not thread-safe.
 *
 * <p>A destination that fails for many requests at once would else get as many retries as all their budgets allow.
 *
 * <pre>
 * ratio.addFirstAttempt();
 * if (ratio.trySpend()) {
 *     // retry
 * }
 * </pre>
 */
public final class RetryRatio {

    private static final int UNITS_PER_RETRY = 10;
    private static final int MAX_UNITS = 100;

    private int units = MAX_UNITS;

    /** Notes a first attempt, which earns a tenth of a retry. */
    public void addFirstAttempt() {
        units = Math.min(MAX_UNITS, units + 1);
    }

    /**
     * Spends one retry.
     *
     * @return whether there was one
     */
    public boolean trySpend() {
        if (units < UNITS_PER_RETRY) {
            return false;
        }
        units -= UNITS_PER_RETRY;
        return true;
    }
}
