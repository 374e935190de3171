package io.cranberryarch.decision.retry;

/**
 * Limits the retries to one destination to a ratio of the first attempts to it. Not thread-safe.
 *
 * <p>Otherwise a destination that fails many concurrent requests would receive as many retries as all their budgets
 * allow.
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

    /** Records a first attempt, which earns a tenth of a retry. */
    public void addFirstAttempt() {
        units = Math.min(MAX_UNITS, units + 1);
    }

    /**
     * Spends one retry.
     *
     * @return whether a retry was available
     */
    public boolean trySpend() {
        if (units < UNITS_PER_RETRY) {
            return false;
        }
        units -= UNITS_PER_RETRY;
        return true;
    }
}
