package io.cranberryarch.node.call;

import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.retry.RetryBudget;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/** A call that the upstream runs now, with what its nested calls may spend. Thread-safe. */
public final class ActiveCall {

    private final RequestContext context;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final AtomicLong nextNestedId = new AtomicLong();
    private final Map<Long, Future<?>> nested = new ConcurrentHashMap<>();
    private volatile boolean cancelled;

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

    /**
     * Adds a nested call, which is cancelled together with this one.
     *
     * @param call the answer to the nested call
     */
    public void addNested(CompletableFuture<?> call) {
        long id = nextNestedId.getAndIncrement();
        nested.put(id, call);
        call.whenComplete((result, failure) -> nested.remove(id));
        if (cancelled) {
            call.cancel(false);
        }
    }

    void cancelNested() {
        cancelled = true;
        for (Future<?> call : nested.values()) {
            call.cancel(false);
        }
    }

    synchronized int getRetries() {
        return budget.getTokens();
    }
}
