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

/** Admits calls to the upstream, lets them wait for a short time, or refuses them at once. Thread-safe. */
public final class AdmissionService {

    private static final long RETRY_AFTER_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final int UNAVAILABLE = 503;

    private record Waiting(RequestContext context, CompletableFuture<Optional<Refusal>> answer) {}

    private record Decided(Waiting waiting, Verdict verdict) {}

    private final Clock clock;
    private final ScheduledExecutorService timer;
    private final ToDoubleFunction<String> weights;
    private final NodeMetrics metrics;
    private final AdmissionControl control;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long nextId;
    private boolean isPollScheduled;
    private boolean isShedding;

    /**
     * Creates an admission.
     *
     * @param slots requests that the upstream runs at once at most
     * @param clock the clock
     * @param timer refuses calls that waited too long
     * @param weights the weights of client accounts
     * @param metrics notes what becomes of calls
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
     * Asks for admission.
     *
     * @param call the call
     * @return completes with a refusal, or with empty when the call may run; then {@link #exit} must follow
     */
    public CompletableFuture<Optional<Refusal>> enter(CallRequest call) {
        RequestContext context = call.context();
        CompletableFuture<Optional<Refusal>> answer = new CompletableFuture<>();
        double weight = weights.applyAsDouble(context.account());
        int level = AdmissionLevel.of(context.priority(), context.requestId());
        List<Decided> decided;
        synchronized (control) {
            long nowMs = clock.monotonicMs();
            long id = nextId++;
            waiting.put(id, new Waiting(context, answer));
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
            decided = poll(nowMs);
        }
        finish(decided);
        return answer;
    }

    /**
     * Ends an admitted call.
     *
     * @param call the call
     * @param result its answer
     * @param durationMs the time that the upstream took, in milliseconds
     * @param nestedMs the part of it in which the upstream waited for nested calls
     */
    public void exit(CallRequest call, CallResult result, long durationMs, long nestedMs) {
        Optional<RefusalReason> reason = result.refusal().map(Refusal::reason);
        boolean isUpstreamFailed = reason.equals(Optional.of(RefusalReason.UPSTREAM_FAILED));
        boolean isFailed = isUpstreamFailed || (result.status() == UNAVAILABLE && nestedMs == 0);
        boolean isNotRun = result.toExecution() == Execution.NOT_RUN && !isUpstreamFailed;
        boolean isGivenUp = isNotRun || reason.equals(Optional.of(RefusalReason.CANCELLED));
        List<Decided> decided;
        synchronized (control) {
            long nowMs = clock.monotonicMs();
            if (isGivenUp) {
                control.abandon();
            } else {
                control.exit(call.context().kind(), durationMs, durationMs - nestedMs, isFailed, nowMs);
            }
            decided = poll(nowMs);
        }
        finish(decided);
    }

    /**
     * Gets the load.
     *
     * @return calls in flight and the limit, with a threshold that refuses none
     */
    public LoadReport getLoad() {
        synchronized (control) {
            return new LoadReport(control.getInFlight(), control.getLimit(), AdmissionLevel.LEVELS);
        }
    }

    /**
     * Lowers the threshold of an answer to the one of its client account at this gate.
     *
     * @param context the context of the call
     * @param result the answer
     * @return the answer with the lower threshold
     */
    CallResult withThreshold(RequestContext context, CallResult result) {
        int threshold;
        synchronized (control) {
            threshold = control.toThreshold(context.account());
        }
        return result.withThreshold(threshold);
    }

    /** Notes that a call waits for nested calls, and gets the time. */
    long beginNested() {
        List<Decided> decided;
        long nowMs = clock.monotonicMs();
        synchronized (control) {
            control.beginNested();
            decided = poll(nowMs);
        }
        finish(decided);
        return nowMs;
    }

    /** Notes that a call goes on after its nested calls, and gets the time. */
    long endNested() {
        synchronized (control) {
            control.endNested();
        }
        return clock.monotonicMs();
    }

    private List<Decided> poll(long nowMs) {
        List<Decided> decided = new ArrayList<>();
        for (Outcome outcome : control.poll(nowMs)) {
            decided.add(new Decided(waiting.remove(outcome.id()), outcome.verdict()));
        }
        if (control.hasWaiting() && !isPollScheduled) {
            isPollScheduled = true;
            timer.schedule(this::pollLater, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        if (isShedding != control.isShedding()) {
            isShedding = control.isShedding();
            Logger.info("shedding active={} limit={}", isShedding, control.getLimit());
        }
        return decided;
    }

    private void pollLater() {
        List<Decided> decided;
        synchronized (control) {
            isPollScheduled = false;
            decided = poll(clock.monotonicMs());
        }
        finish(decided);
    }

    private void finish(List<Decided> decided) {
        for (Decided each : decided) {
            String verdict = each.verdict().name().toLowerCase(Locale.ROOT);
            String priority = each.waiting().context().priority().toText();
            metrics.getRegistry()
                    .counter("admissions{verdict=\"" + verdict + "\",priority=\"" + priority + "\"}")
                    .inc();
            each.waiting().answer().complete(toRefusal(each.verdict()));
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
