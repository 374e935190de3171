package io.cranberryarch.node.call;

import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.decision.retry.RetryBudget;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/** A call in execution at the upstream, with the retry budget that its nested calls share. Thread-safe. */
public final class ActiveCall {

    private final RequestContext context;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final AtomicLong nextNestedId = new AtomicLong();
    private final Map<Long, Future<?>> nested = new ConcurrentHashMap<>();
    private final AdmissionService admission;
    private volatile boolean cancelled;
    private boolean isEnded;
    private int pendingNestedCalls;
    private long nestedWaitStartMs;
    private long nestedWaitMs;
    private int lowestThreshold = AdmissionLevel.LEVELS;

    ActiveCall(RequestContext context, long deadlineMs, int retryTokens, AdmissionService admission) {
        this.admission = admission;
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
     * Computes the time remaining until the deadline.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the remaining time in milliseconds, not negative
     */
    public long computeRemainingMs(long nowMs) {
        return Math.max(0, deadlineMs - nowMs);
    }

    /**
     * Reserves retry tokens for a nested call.
     *
     * @return the number of tokens reserved
     */
    public synchronized int reserveRetryTokens() {
        return budget.reserve();
    }

    /**
     * Returns retry tokens that a nested call did not use.
     *
     * @param unused the number of unused tokens
     */
    public synchronized void returnRetryTokens(int unused) {
        budget.refund(unused);
    }

    /**
     * Adds a nested call, which is cancelled together with this one.
     *
     * @param call the pending result of the nested call
     */
    public void addNested(CompletableFuture<CallResult> call) {
        beginNested();
        long id = nextNestedId.getAndIncrement();
        nested.put(id, call);
        call.whenComplete((result, failure) -> {
            nested.remove(id);
            endNested(Optional.ofNullable(result).flatMap(CallResult::load));
        });
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

    /** Ends this call and returns the total time that it waited for nested calls, in milliseconds. */
    synchronized long end() {
        if (pendingNestedCalls > 0) {
            nestedWaitMs += admission.endNestedWait() - nestedWaitStartMs;
        }
        isEnded = true;
        return nestedWaitMs;
    }

    /** Gets the lowest admission threshold that the nested calls reported. */
    synchronized int getLowestThreshold() {
        return lowestThreshold;
    }

    private synchronized void beginNested() {
        if (!isEnded && pendingNestedCalls == 0) {
            nestedWaitStartMs = admission.beginNestedWait();
        }
        pendingNestedCalls++;
    }

    private synchronized void endNested(Optional<LoadReport> load) {
        lowestThreshold =
                Math.min(lowestThreshold, load.map(LoadReport::threshold).orElse(AdmissionLevel.LEVELS));
        pendingNestedCalls--;
        if (!isEnded && pendingNestedCalls == 0) {
            nestedWaitMs += admission.endNestedWait() - nestedWaitStartMs;
        }
    }

    synchronized int getRetryTokens() {
        return budget.getTokens();
    }
}
