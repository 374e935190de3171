package io.cranberryarch.decision.retry;

/**
 * The shared retry budget of one call and all calls nested below it.
 *
 * <p>Tokens reserved for a nested call are debited, and the unspent ones are credited when it ends, so that the total
 * over a call tree never exceeds the budget of its root. Not thread-safe.
 *
 * <pre>
 * int reserved = budget.reserve();
 * // the nested call ends and returns its unspent tokens
 * budget.refund(unspent);
 * </pre>
 */
public final class RetryBudget {

    /** The number of retries of one request over its whole call tree. */
    public static final int ROOT_TOKENS = 3;

    private int tokens;

    /**
     * Creates a budget.
     *
     * @param tokens the number of retries; negative values count as 0
     */
    public RetryBudget(int tokens) {
        this.tokens = Math.max(0, tokens);
    }

    /**
     * Reserves half of the tokens, rounded up, for a nested call.
     *
     * @return the number of tokens reserved
     */
    public int reserve() {
        int reserved = (tokens + 1) / 2;
        tokens -= reserved;
        return reserved;
    }

    /**
     * Refunds tokens that a nested call did not spend.
     *
     * @param unspent the number of tokens; negative values count as 0
     */
    public void refund(int unspent) {
        tokens += Math.max(0, unspent);
    }

    /**
     * Spends one token for a retry.
     *
     * @return whether a token was available
     */
    public boolean trySpend() {
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns the remaining tokens.
     *
     * @return the number of tokens, not negative
     */
    public int getTokens() {
        return tokens;
    }
}
