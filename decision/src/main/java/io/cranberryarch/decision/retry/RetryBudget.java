package io.cranberryarch.decision.retry;

/**
 * The retries that one call and all calls below it may still spend together.
 *
 * <p>Tokens lent to a nested call are debited here and credited with what comes back, so that the total over a tree of
 * calls never exceeds the budget of its root. Not thread-safe.
 *
 * <pre>
 * int lent = budget.lend();
 * // the nested call ends and returns what it did not spend
 * budget.refund(unspent);
 * </pre>
 */
public final class RetryBudget {

    /** The retries of one caller's request over its whole tree of calls. */
    public static final int ROOT_TOKENS = 3;

    private int tokens;

    /**
     * Creates a budget.
     *
     * @param tokens the retries, not negative
     */
    public RetryBudget(int tokens) {
        this.tokens = Math.max(0, tokens);
    }

    /**
     * Lends half of the tokens, rounded up, to a nested call.
     *
     * @return the tokens lent
     */
    public int lend() {
        int lent = (tokens + 1) / 2;
        tokens -= lent;
        return lent;
    }

    /**
     * Takes back tokens that a nested call did not spend.
     *
     * @param unspent the tokens, not negative
     */
    public void refund(int unspent) {
        tokens += Math.max(0, unspent);
    }

    /**
     * Spends one token for a retry.
     *
     * @return whether there was one
     */
    public boolean trySpend() {
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Gets the tokens left.
     *
     * @return the tokens, not negative
     */
    public int getTokens() {
        return tokens;
    }
}
