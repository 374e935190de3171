package io.cranberryarch.node.call;

import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.retry.RetryBudget;

/** A call that the upstream runs now, with what its nested calls may spend. Thread-safe. */
public final class ActiveCall {

    private final RequestContext context;
    private final long deadlineMs;
    private final RetryBudget budget;

    ActiveCall(RequestContext context, long deadlineMs, int retryTokens) {
        this.context = context;
        this.deadlineMs = deadlineMs;
        this.budget = new RetryBudget(retryTokens);
    }

    /**
     * Gets the context.
     *
     * @return the context of the call
     */
    public RequestContext getContext() {
        return context;
    }

    /**
     * Computes the time left.
     *
     * @param nowMs monotonic time in milliseconds
     * @return milliseconds until the deadline, not negative
     */
    public long toLeftMs(long nowMs) {
        return Math.max(0, deadlineMs - nowMs);
    }

    /**
     * Lends retries to a nested call.
     *
     * @return the retries lent
     */
    public synchronized int lendRetries() {
        return budget.lend();
    }

    /**
     * Takes back retries that a nested call did not spend.
     *
     * @param unspent the retries
     */
    public synchronized void giveBackRetries(int unspent) {
        budget.giveBack(unspent);
    }

    synchronized int getRetries() {
        return budget.getTokens();
    }
}
