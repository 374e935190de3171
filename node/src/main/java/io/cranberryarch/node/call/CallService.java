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

/** Sends calls to an instance of their service, and tries another one where that is safe. Thread-safe. */
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
    private final Map<String, RetryRatio> ratios = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param members the members known
     * @param routing chooses instances
     * @param network the connections to peers
     * @param gate the gate of this node, used without a connection
     * @param keys finds the nodes of calls with idempotency keys
     * @param timer ends calls at their deadlines
     * @param metrics counts calls that are refused before they are sent
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
     * Sends a call. A cancellation of the returned future gives the call up wherever it is.
     *
     * @param call the call
     * @return the final answer, which fails only if it was cancelled
     */
    public CompletableFuture<CallResult> send(CallRequest call) {
        RetryRatio ratio = ratios.computeIfAbsent(call.service(), unused -> new RetryRatio());
        Attempts attempts = new Attempts(call, clock.monotonicMs() + call.timeoutMs(), ratio);
        Optional<Refusal> forged = attempts.isKeyed ? keys.check(call) : Optional.empty();
        if (forged.isPresent()) {
            return CompletableFuture.completedFuture(refuse(forged.get(), call.retryTokens()));
        }
        int threshold = thresholds.toThreshold(call);
        if (ServiceThresholds.isRefused(call, threshold)) {
            return CompletableFuture.completedFuture(shed(call, threshold));
        }
        synchronized (ratio) {
            ratio.addFirstAttempt();
        }
        attempts.next();
        return attempts.result;
    }

    /**
     * Runs the call of a peer at the gate and sends the answer back.
     *
     * @param connection the connection
     * @param frame the frame with the call
     */
    public void onCall(PeerConnection connection, Frame frame) {
        CallRequest call = ((CallMessage) frame.message()).request();
        connection.serve(frame.id(), gate.handle(call), AnswerMessage::new);
    }

    private CompletableFuture<CallResult> attempt(Member member, CallRequest call) {
        if (members.isSelf(member)) {
            return gate.handle(call);
        }
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        network.connect(MemberService.toAddress(member)).whenComplete((connection, failure) -> {
            if (failure != null) {
                result.complete(toLost(failure, call));
            } else if (!result.isDone()) {
                exchange(connection, call, result);
            }
        });
        var timeout = timer.schedule(
                () -> result.complete(refuse(Refusal.ofUnknown(RefusalReason.DEADLINE_EXCEEDED, RETRY_AFTER_MS), 0)),
                call.timeoutMs(),
                TimeUnit.MILLISECONDS);
        result.whenComplete((answer, failure) -> timeout.cancel(false));
        return result;
    }

    private void exchange(PeerConnection connection, CallRequest call, CompletableFuture<CallResult> result) {
        PeerConnection.PendingRequest pending = connection.request(new CallMessage(call));
        pending.answer()
                .whenComplete((message, failure) ->
                        result.complete(failure != null ? toLost(failure, call) : toResult(message)));
        result.whenComplete((answer, failure) -> {
            if (!pending.answer().isDone()) {
                connection.forget(pending.id());
                connection.send(pending.id(), new CancelMessage());
            }
        });
    }

    private static CallResult toResult(Message message) {
        if (message instanceof AnswerMessage answer) {
            return answer.result();
        }
        return refuse(Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS), 0);
    }

    private static CallResult toLost(Throwable failure, CallRequest call) {
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

    private static Refusal toNoUpstream() {
        return Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS);
    }

    /** The attempts of one call, one after the other. */
    private final class Attempts {

        private final CallRequest call;
        private final long deadlineMs;
        private final RetryBudget budget;
        private final RetryRatio ratio;
        private final Set<String> tried = new HashSet<>();
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();
        private final boolean isKeyed;
        private boolean mayHaveRun;
        private boolean isResent;
        private Optional<String> keyOwner = Optional.empty();

        Attempts(CallRequest call, long deadlineMs, RetryRatio ratio) {
            this.call = call;
            this.isKeyed = call.context().toAtMostOnceKey().isPresent();
            this.deadlineMs = deadlineMs;
            this.budget = new RetryBudget(call.retryTokens());
            this.ratio = ratio;
        }

        void next() {
            Optional<Member> member = isKeyed ? keys.findTarget(call, keyOwner) : routing.choose(call.service(), tried);
            if (member.isEmpty()) {
                finish(refuse(isKeyed ? keys.toUnreachable(call) : toNoUpstream(), budget.getTokens()));
                return;
            }
            tried.add(member.get().instance());
            long startedAtMs = clock.monotonicMs();
            long leftMs = Math.max(0, deadlineMs - clock.monotonicMs());
            int lent = budget.lend();
            CallRequest attempt = (mayHaveRun ? call.toRetry() : call).toAttempt(leftMs, lent);
            CompletableFuture<CallResult> current = attempt(member.get(), attempt);
            result.whenComplete((answer, failure) -> {
                if (result.isCancelled()) {
                    current.cancel(false);
                }
            });
            current.whenComplete((answer, failure) -> {
                if (!isKeyed) {
                    routing.onEnd(member.get(), Optional.ofNullable(answer), startedAtMs);
                }
                onAnswer(answer, failure);
            });
        }

        private void finish(CallResult last) {
            result.complete(mayHaveRun ? last.toUnknown() : last);
        }

        private boolean isAgainAllowed(CallResult answer) {
            Refusal refusal = answer.refusal().orElseThrow();
            if (!isKeyed) {
                return RetryDecision.isAllowed(refusal, call.context().idempotent());
            }
            if (refusal.reason() == RefusalReason.NOT_KEY_OWNER && keyOwner.isEmpty()) {
                keyOwner = answer.headers().stream()
                        .filter(header -> header.name().equals(RequestHeaders.KEY_OWNER))
                        .map(HeaderField::value)
                        .findFirst();
                return keyOwner.isPresent();
            }
            // The node of a key runs it once however often it is sent.
            boolean isLost = refusal.reason() == RefusalReason.PEER_LOST && !isResent;
            isResent |= isLost;
            return isLost;
        }

        private boolean trySpend(Refusal refusal) {
            if (RetryDecision.isRedirect(refusal)) {
                return budget.trySpend();
            }
            synchronized (ratio) {
                return budget.getTokens() > 0 && ratio.trySpend() && budget.trySpend();
            }
        }

        private void onAnswer(CallResult answer, Throwable failure) {
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
            mayHaveRun |= answer.refusal().isPresent() && answer.toExecution() != Execution.NOT_RUN;
            answer.load().ifPresent(load -> thresholds.report(call, load.threshold()));
            budget.refund(answer.retryTokens());
            boolean isAgain = answer.refusal().isPresent()
                    && isAgainAllowed(answer)
                    && deadlineMs > clock.monotonicMs()
                    && trySpend(answer.refusal().get());
            if (isAgain) {
                next();
                return;
            }
            finish(new CallResult(
                    answer.status(),
                    answer.headers(),
                    answer.body(),
                    answer.refusal(),
                    budget.getTokens(),
                    answer.load()));
        }
    }
}
