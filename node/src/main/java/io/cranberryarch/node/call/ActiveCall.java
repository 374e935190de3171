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

/** A call that the upstream runs now, with what its nested calls may spend. Thread-safe. */
public final class ActiveCall {

    private final RequestContext context;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final AtomicLong nextNestedId = new AtomicLong();
    private final Map<Long, Future<?>> nested = new ConcurrentHashMap<>();
    private final AdmissionService admission;
    private volatile boolean cancelled;
    private boolean isEnded;
    private int waitingFor;
    private long waitingSinceMs;
    private long nestedMs;
    private int threshold = AdmissionLevel.LEVELS;

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
     * Computes the time left.
     *
     * @param nowMs monotonic time in milliseconds
     * @return milliseconds until the deadline, not negative
     */
    public long computeRemainingMs(long nowMs) {
        return Math.max(0, deadlineMs - nowMs);
    }

    /**
     * Lends retries to a nested call.
     *
     * @return the retries lent
     */
    public synchronized int reserveRetryTokens() {
        return budget.lend();
    }

    /**
     * Takes back retries that a nested call did not spend.
     *
     * @param unspent the retries
     */
    public synchronized void returnRetryTokens(int unspent) {
        budget.refund(unspent);
    }

    /**
     * Adds a nested call, which is cancelled together with this one.
     *
     * @param call the answer to the nested call
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

    /** Ends this call, and gets the time in which it waited for nested calls. */
    synchronized long end() {
        if (waitingFor > 0) {
            nestedMs += admission.endNested() - waitingSinceMs;
        }
        isEnded = true;
        return nestedMs;
    }

    /** Gets the lowest threshold of the nested calls. */
    synchronized int getThreshold() {
        return threshold;
    }

    private synchronized void beginNested() {
        if (!isEnded && waitingFor == 0) {
            waitingSinceMs = admission.beginNested();
        }
        waitingFor++;
    }

    private synchronized void endNested(Optional<LoadReport> load) {
        threshold = Math.min(threshold, load.map(LoadReport::threshold).orElse(AdmissionLevel.LEVELS));
        waitingFor--;
        if (!isEnded && waitingFor == 0) {
            nestedMs += admission.endNested() - waitingSinceMs;
        }
    }

    synchronized int getRetries() {
        return budget.getTokens();
    }
}
