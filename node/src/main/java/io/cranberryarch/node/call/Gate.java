package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.metrics.NodeMetrics;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Controls access to the upstream: admits calls, runs non-idempotent ones at most once, and refuses the rest
 * immediately.
 *
 * <p>Thread-safe.
 */
public final class Gate {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Clock clock;
    private final MemberService members;
    private final UpstreamClient upstream;
    private final ActiveCalls activeCalls;
    private final AdmissionService admission;
    private final IdempotencyKeyService keys;
    private final KeyedExecutions keyedExecutions;
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * Creates a gate.
     *
     * @param clock the clock
     * @param members provides the state of this node
     * @param upstream sends calls to the upstream
     * @param activeCalls the calls in execution at the upstream
     * @param admission admits calls
     * @param keys decides which idempotency keys may run on this node
     * @param metrics counts the actions taken for idempotency keys
     */
    public Gate(
            Clock clock,
            MemberService members,
            UpstreamClient upstream,
            ActiveCalls activeCalls,
            AdmissionService admission,
            IdempotencyKeyService keys,
            NodeMetrics metrics) {
        this.clock = clock;
        this.members = members;
        this.upstream = upstream;
        this.activeCalls = activeCalls;
        this.admission = admission;
        this.keys = keys;
        this.keyedExecutions = new KeyedExecutions(clock, metrics);
    }

    /**
     * Runs a call or refuses it.
     *
     * <p>Cancelling the returned future cancels the call: a waiting call does not run, and a running exchange with the
     * upstream is aborted. A call with an idempotency key continues, so that a later attempt can
     * retrieve its result.
     *
     * @param call the call
     * @return the final result
     */
    public CompletableFuture<CallResult> handle(CallRequest call) {
        inProgress.incrementAndGet();
        Cancellation cancellation = new Cancellation();
        CompletableFuture<CallResult> pendingResult = new CompletableFuture<>();
        pendingResult.whenComplete((result, failure) -> {
            if (pendingResult.isCancelled()) {
                cancellation.cancel();
            }
        });
        dispatch(call, cancellation).whenComplete((result, failure) -> {
            try {
                complete(
                        pendingResult,
                        failure == null ? admission.withThreshold(call.context(), result) : null,
                        failure);
            } finally {
                inProgress.decrementAndGet();
            }
        });
        return pendingResult;
    }

    /**
     * Counts the calls that are not yet completed.
     *
     * @return the number of waiting and running calls
     */
    public int getInProgress() {
        return inProgress.get();
    }

    /**
     * Gets the current load.
     *
     * @return the calls in flight and the concurrency limit
     */
    public LoadReport getLoad() {
        return admission.getLoad();
    }

    private CompletableFuture<CallResult> dispatch(CallRequest call, Cancellation cancellation) {
        Optional<String> key = call.context().toAtMostOnceKey();
        if (key.isEmpty()) {
            return runUnlessRefused(call, cancellation);
        }
        Optional<Refusal> keyRefusal = keys.check(call);
        if (keyRefusal.isPresent()) {
            return refuse(call, keyRefusal.get());
        }
        return keyedExecutions
                .handle(
                        call,
                        key.get(),
                        keys.toCreatedAtMs(call),
                        keys.decideFirstUse(call),
                        first -> runUnlessRefused(first, new Cancellation()))
                .thenApply(result -> withLoad(withKeyOwner(call, result), call.retryTokens()));
    }

    private CompletableFuture<CallResult> runUnlessRefused(CallRequest call, Cancellation cancellation) {
        Optional<Refusal> refusal = check(call);
        return refusal.isPresent() ? refuse(call, refusal.get()) : admit(call, cancellation);
    }

    private Optional<Refusal> check(CallRequest call) {
        MemberState state = members.getSelf().state();
        if (state == MemberState.DRAINING || state == MemberState.GONE) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.DRAINING, RETRY_AFTER_MS));
        }
        if (state != MemberState.UP || !members.getSelf().service().equals(call.service())) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS));
        }
        if (call.timeoutMs() <= 0) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.DEADLINE_EXCEEDED, 0));
        }
        return Optional.empty();
    }

    private CompletableFuture<CallResult> admit(CallRequest call, Cancellation cancellation) {
        long arrivedAtMs = clock.monotonicMs();
        return admission.enter(call).thenCompose(refusal -> {
            if (refusal.isPresent()) {
                return refuse(call, refusal.get());
            }
            long remainingMs = call.timeoutMs() - clock.monotonicMs() + arrivedAtMs;
            return run(call.toAttempt(remainingMs, call.retryTokens()), cancellation);
        });
    }

    private CompletableFuture<CallResult> run(CallRequest call, Cancellation cancellation) {
        if (cancellation.isCancelled() || call.timeoutMs() <= 0) {
            RefusalReason reason =
                    cancellation.isCancelled() ? RefusalReason.CANCELLED : RefusalReason.DEADLINE_EXCEEDED;
            CallResult result = CallResult.ofRefusal(
                    Refusal.ofNotRun(reason, RETRY_AFTER_MS), call.retryTokens(), Optional.empty());
            admission.exit(call, result, 0, 0);
            return CompletableFuture.completedFuture(withLoad(result, call.retryTokens()));
        }
        long startedAtMs = clock.monotonicMs();
        ActiveCall active =
                new ActiveCall(call.context(), startedAtMs + call.timeoutMs(), call.retryTokens(), admission);
        long id = activeCalls.add(active);
        CompletableFuture<CallResult> exchange = upstream.send(call, activeCalls.issueToken(id));
        cancellation.onCancel(() -> {
            active.cancelNested();
            exchange.cancel(false);
        });
        return exchange.handle((response, failure) -> {
            activeCalls.remove(id);
            CallResult result = failure == null ? response : toFailureResult(exchange.isCancelled());
            admission.exit(call, result, clock.monotonicMs() - startedAtMs, active.end());
            return withLoad(result, active.getRetryTokens()).withThreshold(active.getLowestThreshold());
        });
    }

    private static CallResult toFailureResult(boolean isCancelled) {
        RefusalReason reason = isCancelled ? RefusalReason.CANCELLED : RefusalReason.UPSTREAM_FAILED;
        return CallResult.ofRefusal(Refusal.ofUnknown(reason, RETRY_AFTER_MS), 0, Optional.empty());
    }

    private static void complete(CompletableFuture<CallResult> pendingResult, CallResult result, Throwable failure) {
        if (failure != null) {
            Logger.error(failure, "call-failed");
            pendingResult.complete(toFailureResult(false));
        } else {
            pendingResult.complete(result);
        }
    }

    private CallResult withKeyOwner(CallRequest call, CallResult result) {
        boolean isOwnedElsewhere = result.refusal()
                .filter(refusal -> refusal.reason() == RefusalReason.NOT_KEY_OWNER)
                .isPresent();
        Optional<String> owner = isOwnedElsewhere ? keys.findOwner(call) : Optional.empty();
        if (owner.isEmpty()) {
            return result;
        }
        List<HeaderField> headers = List.of(new HeaderField(RequestHeaders.KEY_OWNER, owner.get()));
        return new CallResult(
                result.status(), headers, result.body(), result.refusal(), result.retryTokens(), result.load());
    }

    private CompletableFuture<CallResult> refuse(CallRequest call, Refusal refusal) {
        return CompletableFuture.completedFuture(
                CallResult.ofRefusal(refusal, call.retryTokens(), Optional.of(getLoad())));
    }

    private CallResult withLoad(CallResult result, int retryTokens) {
        CallResult current = new CallResult(
                result.status(),
                result.headers(),
                result.body(),
                result.refusal(),
                retryTokens,
                Optional.of(getLoad()));
        return result.load()
                .map(load -> current.withThreshold(load.threshold()))
                .orElse(current);
    }
}
