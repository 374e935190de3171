package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.retry.RetryBudget;
import io.cranberryarch.decision.retry.RetryDecision;
import io.cranberryarch.decision.retry.RetryRatio;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.member.RoutingService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerLostException;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.wire.AnswerMessage;
import io.cranberryarch.wire.CallMessage;
import io.cranberryarch.wire.CancelMessage;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.Message;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Sends calls to an instance of their service, and retries them on another instance where safe. Thread-safe. */
public final class CallService {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Clock clock;
    private final MemberService members;
    private final PeerNetwork network;
    private final Gate gate;
    private final IdempotencyKeyService keys;
    private final ScheduledExecutorService timer;
    private final RoutingService routing;
    private final NodeMetrics metrics;
    private final ServiceThresholds thresholds;
    private final Map<String, RetryRatio> retryRatios = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param members the membership of the fleet
     * @param routing selects instances
     * @param network the connections to peers
     * @param gate the gate of this node, called directly
     * @param keys finds the owning node of an idempotency key
     * @param timer schedules call timeouts
     * @param metrics counts calls that are shed before sending
     */
    public CallService(
            Clock clock,
            MemberService members,
            RoutingService routing,
            PeerNetwork network,
            Gate gate,
            IdempotencyKeyService keys,
            ScheduledExecutorService timer,
            NodeMetrics metrics) {
        this.clock = clock;
        this.members = members;
        this.routing = routing;
        this.network = network;
        this.gate = gate;
        this.keys = keys;
        this.timer = timer;
        this.metrics = metrics;
        this.thresholds = new ServiceThresholds(clock);
    }

    /**
     * Sends a call. Cancelling the returned future cancels the call on the node that handles it.
     *
     * @param call the call
     * @return the final result, completed exceptionally only if cancelled
     */
    public CompletableFuture<CallResult> send(CallRequest call) {
        RetryRatio ratio = retryRatios.computeIfAbsent(call.service(), unused -> new RetryRatio());
        AttemptSequence attempts = new AttemptSequence(call, clock.monotonicMs() + call.timeoutMs(), ratio);
        Optional<Refusal> keyRefusal = attempts.isKeyed ? keys.check(call) : Optional.empty();
        if (keyRefusal.isPresent()) {
            return CompletableFuture.completedFuture(refuse(keyRefusal.get(), call.retryTokens()));
        }
        int threshold = thresholds.getThreshold(call);
        if (ServiceThresholds.isRefused(call, threshold)) {
            return CompletableFuture.completedFuture(shed(call, threshold));
        }
        synchronized (ratio) {
            ratio.addFirstAttempt();
        }
        attempts.startNext();
        return attempts.result;
    }

    /**
     * Runs the call of a peer at the gate and sends the result to the peer.
     *
     * @param connection the connection
     * @param frame the frame with the call
     */
    public void onCall(PeerConnection connection, Frame frame) {
        CallRequest call = ((CallMessage) frame.message()).request();
        connection.serve(frame.id(), gate.handle(call), AnswerMessage::new);
    }

    private CompletableFuture<CallResult> sendAttempt(Member member, CallRequest call) {
        if (members.isSelf(member)) {
            return gate.handle(call);
        }
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        network.connect(MemberService.toAddress(member)).whenComplete((connection, failure) -> {
            if (failure != null) {
                result.complete(toPeerLostResult(failure, call));
            } else if (!result.isDone()) {
                exchange(connection, call, result);
            }
        });
        var timeout = timer.schedule(
                () -> result.complete(refuse(Refusal.ofUnknown(RefusalReason.DEADLINE_EXCEEDED, RETRY_AFTER_MS), 0)),
                call.timeoutMs(),
                TimeUnit.MILLISECONDS);
        result.whenComplete((attemptResult, failure) -> timeout.cancel(false));
        return result;
    }

    private void exchange(PeerConnection connection, CallRequest call, CompletableFuture<CallResult> result) {
        PeerConnection.PendingRequest pending = connection.request(new CallMessage(call));
        pending.response()
                .whenComplete((message, failure) ->
                        result.complete(failure != null ? toPeerLostResult(failure, call) : toResult(message)));
        result.whenComplete((attemptResult, failure) -> {
            if (!pending.response().isDone()) {
                connection.removeRequest(pending.id());
                connection.send(pending.id(), new CancelMessage());
            }
        });
    }

    private static CallResult toResult(Message message) {
        if (message instanceof AnswerMessage response) {
            return response.result();
        }
        return refuse(Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS), 0);
    }

    private static CallResult toPeerLostResult(Throwable failure, CallRequest call) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean isSent = !(cause instanceof PeerLostException lost) || lost.isSent();
        if (isSent) {
            return refuse(Refusal.ofUnknown(RefusalReason.PEER_LOST, RETRY_AFTER_MS), 0);
        }
        return refuse(Refusal.ofNotRun(RefusalReason.PEER_LOST, RETRY_AFTER_MS), call.retryTokens());
    }

    private static CallResult refuse(Refusal refusal, int retryTokens) {
        return CallResult.ofRefusal(refusal, retryTokens, Optional.empty());
    }

    private CallResult shed(CallRequest call, int threshold) {
        String priority = call.context().priority().toText();
        metrics.getRegistry()
                .counter("shed_before_send{service=\"" + call.service() + "\",priority=\"" + priority + "\"}")
                .inc();
        Refusal refusal = Refusal.ofNotRun(RefusalReason.OVERLOADED, RETRY_AFTER_MS);
        return CallResult.ofRefusal(refusal, call.retryTokens(), Optional.of(new LoadReport(0, 1, threshold)));
    }

    private static Refusal createNoUpstreamRefusal() {
        return Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS);
    }

    /** Sequential attempts of one call. */
    private final class AttemptSequence {

        private final CallRequest call;
        private final long deadlineMs;
        private final RetryBudget budget;
        private final RetryRatio ratio;
        private final Set<String> triedInstances = new HashSet<>();
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();
        private final boolean isKeyed;
        private boolean mayHaveRun;
        private boolean isResent;
        private Optional<String> keyOwner = Optional.empty();

        AttemptSequence(CallRequest call, long deadlineMs, RetryRatio ratio) {
            this.call = call;
            this.isKeyed = call.context().toAtMostOnceKey().isPresent();
            this.deadlineMs = deadlineMs;
            this.budget = new RetryBudget(call.retryTokens());
            this.ratio = ratio;
        }

        void startNext() {
            Optional<Member> member =
                    isKeyed ? keys.findTarget(call, keyOwner) : routing.choose(call.service(), triedInstances);
            if (member.isEmpty()) {
                finish(refuse(
                        isKeyed ? keys.toUnreachableRefusal(call) : createNoUpstreamRefusal(), budget.getTokens()));
                return;
            }
            triedInstances.add(member.get().instance());
            long startedAtMs = clock.monotonicMs();
            long remainingMs = Math.max(0, deadlineMs - clock.monotonicMs());
            int reservedTokens = budget.reserve();
            CallRequest sendAttempt = (mayHaveRun ? call.toRetry() : call).toAttempt(remainingMs, reservedTokens);
            CompletableFuture<CallResult> current = sendAttempt(member.get(), sendAttempt);
            result.whenComplete((attemptResult, failure) -> {
                if (result.isCancelled()) {
                    current.cancel(false);
                }
            });
            current.whenComplete((attemptResult, failure) -> {
                if (!isKeyed) {
                    routing.onEnd(member.get(), Optional.ofNullable(attemptResult), startedAtMs);
                }
                onAttemptEnd(attemptResult, failure);
            });
        }

        private void finish(CallResult lastResult) {
            result.complete(mayHaveRun ? lastResult.toUnknown() : lastResult);
        }

        private boolean isRetryAllowed(CallResult attemptResult) {
            Refusal refusal = attemptResult.refusal().orElseThrow();
            if (!isKeyed) {
                return RetryDecision.isAllowed(refusal, call.context().idempotent());
            }
            if (refusal.reason() == RefusalReason.NOT_KEY_OWNER && keyOwner.isEmpty()) {
                keyOwner = attemptResult.headers().stream()
                        .filter(header -> header.name().equals(RequestHeaders.KEY_OWNER))
                        .map(HeaderField::value)
                        .findFirst();
                return keyOwner.isPresent();
            }
            // The owning node runs a key at most once, so that resending the call is safe.
            boolean isPeerLost = refusal.reason() == RefusalReason.PEER_LOST && !isResent;
            isResent |= isPeerLost;
            return isPeerLost;
        }

        private boolean trySpend(Refusal refusal) {
            if (RetryDecision.isRedirect(refusal)) {
                return budget.trySpend();
            }
            synchronized (ratio) {
                return budget.getTokens() > 0 && ratio.trySpend() && budget.trySpend();
            }
        }

        private void onAttemptEnd(CallResult attemptResult, Throwable failure) {
            if (result.isDone()) {
                return;
            }
            if (failure != null) {
                Logger.error(
                        failure, "attempt-failed request={}", call.context().requestId());
                Refusal refusal = Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS);
                result.complete(refuse(refusal, 0));
                return;
            }
            mayHaveRun |= attemptResult.refusal().isPresent() && attemptResult.toExecution() != Execution.NOT_RUN;
            attemptResult.load().ifPresent(load -> thresholds.recordThreshold(call, load.threshold()));
            budget.refund(attemptResult.retryTokens());
            boolean shouldRetry = attemptResult.refusal().isPresent()
                    && isRetryAllowed(attemptResult)
                    && deadlineMs > clock.monotonicMs()
                    && trySpend(attemptResult.refusal().get());
            if (shouldRetry) {
                startNext();
                return;
            }
            finish(new CallResult(
                    attemptResult.status(),
                    attemptResult.headers(),
                    attemptResult.body(),
                    attemptResult.refusal(),
                    budget.getTokens(),
                    attemptResult.load()));
        }
    }
}
