package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.admission.AdmissionControl;
import io.cranberryarch.decision.admission.AdmissionControl.Outcome;
import io.cranberryarch.decision.admission.AdmissionControl.Verdict;
import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.decision.admission.WaitingCall;
import io.cranberryarch.node.metrics.NodeMetrics;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.tinylog.Logger;

/** Admits calls to the upstream, queues them for a short time, or refuses them immediately. Thread-safe. */
public final class AdmissionService {

    private static final long RETRY_AFTER_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final int SERVICE_UNAVAILABLE_STATUS = 503;

    private record QueuedCall(RequestContext context, CompletableFuture<Optional<Refusal>> result) {}

    private record AdmissionDecision(QueuedCall call, Verdict verdict) {}

    private final Clock clock;
    private final ScheduledExecutorService timer;
    private final ToDoubleFunction<String> weights;
    private final NodeMetrics metrics;
    private final AdmissionControl control;
    private final Map<Long, QueuedCall> queuedCalls = new HashMap<>();
    private long nextId;
    private boolean isPollScheduled;
    private boolean isShedding;

    /**
     * Creates the service.
     *
     * @param slots the maximum number of requests that the upstream runs concurrently
     * @param clock the clock
     * @param timer schedules the refusal of calls that have waited too long
     * @param weights maps a client account to its weight
     * @param metrics counts the admission verdicts
     */
    public AdmissionService(
            int slots,
            Clock clock,
            ScheduledExecutorService timer,
            ToDoubleFunction<String> weights,
            NodeMetrics metrics) {
        this.clock = clock;
        this.timer = timer;
        this.weights = weights;
        this.metrics = metrics;
        this.control = new AdmissionControl(slots, clock.monotonicMs());
    }

    /**
     * Requests admission for a call.
     *
     * @param call the call
     * @return completes with a refusal, or with empty when the call may run; {@link #exit} must be called after it ran
     */
    public CompletableFuture<Optional<Refusal>> enter(CallRequest call) {
        RequestContext context = call.context();
        CompletableFuture<Optional<Refusal>> result = new CompletableFuture<>();
        double weight = weights.applyAsDouble(context.account());
        int level = AdmissionLevel.of(context.priority(), context.requestId());
        List<AdmissionDecision> decisions;
        synchronized (control) {
            long nowMs = clock.monotonicMs();
            long id = nextId++;
            queuedCalls.put(id, new QueuedCall(context, result));
            control.enter(
                    new WaitingCall(
                            id,
                            context.priority(),
                            context.account(),
                            context.kind(),
                            weight,
                            level,
                            context.depth() > 0,
                            nowMs + call.timeoutMs()),
                    nowMs);
            decisions = poll(nowMs);
        }
        completeAll(decisions);
        return result;
    }

    /**
     * Ends an admitted call.
     *
     * @param call the call
     * @param result its result
     * @param durationMs the duration at the upstream, in milliseconds
     * @param nestedWaitMs the part of the duration spent waiting for nested calls, in milliseconds
     */
    public void exit(CallRequest call, CallResult result, long durationMs, long nestedWaitMs) {
        Optional<RefusalReason> reason = result.refusal().map(Refusal::reason);
        boolean isUpstreamFailed = reason.equals(Optional.of(RefusalReason.UPSTREAM_FAILED));
        boolean isFailed = isUpstreamFailed || (result.status() == SERVICE_UNAVAILABLE_STATUS && nestedWaitMs == 0);
        boolean isNotRun = result.toExecution() == Execution.NOT_RUN && !isUpstreamFailed;
        boolean isAbandoned = isNotRun || reason.equals(Optional.of(RefusalReason.CANCELLED));
        List<AdmissionDecision> decisions;
        synchronized (control) {
            long nowMs = clock.monotonicMs();
            if (isAbandoned) {
                control.abandon();
            } else {
                control.exit(call.context().kind(), durationMs, durationMs - nestedWaitMs, isFailed, nowMs);
            }
            decisions = poll(nowMs);
        }
        completeAll(decisions);
    }

    /**
     * Gets the current load.
     *
     * @return the calls in flight and the concurrency limit, with a threshold that refuses no call
     */
    public LoadReport getLoad() {
        synchronized (control) {
            return new LoadReport(control.getInFlight(), control.getLimit(), AdmissionLevel.LEVELS);
        }
    }

    /**
     * Lowers the threshold in a result to the threshold of the client account at this gate.
     *
     * @param context the context of the call
     * @param result the result
     * @return the result with the lower of both thresholds
     */
    CallResult withThreshold(RequestContext context, CallResult result) {
        int threshold;
        synchronized (control) {
            threshold = control.toThreshold(context.account());
        }
        return result.withThreshold(threshold);
    }

    /** Records that a call started to wait for nested calls, and returns the monotonic time in milliseconds. */
    long beginNestedWait() {
        List<AdmissionDecision> decisions;
        long nowMs = clock.monotonicMs();
        synchronized (control) {
            control.beginNested();
            decisions = poll(nowMs);
        }
        completeAll(decisions);
        return nowMs;
    }

    /** Records that a call resumed after its nested calls, and returns the monotonic time in milliseconds. */
    long endNestedWait() {
        synchronized (control) {
            control.endNested();
        }
        return clock.monotonicMs();
    }

    private List<AdmissionDecision> poll(long nowMs) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        for (Outcome outcome : control.poll(nowMs)) {
            decisions.add(new AdmissionDecision(queuedCalls.remove(outcome.id()), outcome.verdict()));
        }
        if (control.hasWaiting() && !isPollScheduled) {
            isPollScheduled = true;
            timer.schedule(this::runScheduledPoll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        if (isShedding != control.isShedding()) {
            isShedding = control.isShedding();
            Logger.info("shedding active={} limit={}", isShedding, control.getLimit());
        }
        return decisions;
    }

    private void runScheduledPoll() {
        List<AdmissionDecision> decisions;
        synchronized (control) {
            isPollScheduled = false;
            decisions = poll(clock.monotonicMs());
        }
        completeAll(decisions);
    }

    private void completeAll(List<AdmissionDecision> decisions) {
        for (AdmissionDecision decision : decisions) {
            String verdict = decision.verdict().name().toLowerCase(Locale.ROOT);
            String priority = decision.call().context().priority().toText();
            metrics.getRegistry()
                    .counter("admissions{verdict=\"" + verdict + "\",priority=\"" + priority + "\"}")
                    .inc();
            decision.call().result().complete(toRefusal(decision.verdict()));
        }
    }

    private static Optional<Refusal> toRefusal(Verdict verdict) {
        return switch (verdict) {
            case RUN -> Optional.empty();
            case OVERLOADED -> Optional.of(Refusal.ofNotRun(RefusalReason.OVERLOADED, RETRY_AFTER_MS));
            case TOO_LATE -> Optional.of(Refusal.ofNotRun(RefusalReason.DEADLINE_EXCEEDED, RETRY_AFTER_MS));
            default -> throw new IllegalStateException("unknown verdict " + verdict);
        };
    }
}
