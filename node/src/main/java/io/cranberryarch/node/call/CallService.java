package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.retry.RetryBudget;
import io.cranberryarch.decision.retry.RetryDecision;
import io.cranberryarch.decision.retry.RetryRatio;
import io.cranberryarch.decision.routing.InstanceChoice;
import io.cranberryarch.node.member.MemberService;
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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Sends calls to an instance of their service, and tries another one where that is safe. Thread-safe. */
public final class CallService {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Clock clock;
    private final MemberService members;
    private final PeerNetwork network;
    private final Gate gate;
    private final ScheduledExecutorService timer;
    private final Map<String, LoadReport> loads = new ConcurrentHashMap<>();
    private final Map<String, RetryRatio> ratios = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param members the members known
     * @param network the connections to peers
     * @param gate the gate of this node, used without a connection
     * @param timer ends calls at their deadlines
     */
    public CallService(
            Clock clock, MemberService members, PeerNetwork network, Gate gate, ScheduledExecutorService timer) {
        this.clock = clock;
        this.members = members;
        this.network = network;
        this.gate = gate;
        this.timer = timer;
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @return the final answer, never a failed future
     */
    public CompletableFuture<CallResult> send(CallRequest call) {
        RetryRatio ratio = ratios.computeIfAbsent(call.service(), unused -> new RetryRatio());
        synchronized (ratio) {
            ratio.addFirstAttempt();
        }
        Attempts attempts = new Attempts(call, clock.monotonicMs() + call.timeoutMs(), ratio);
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
        gate.handle(call).whenComplete((result, failure) -> {
            if (failure != null) {
                Logger.error(failure, "call-failed request={}", call.context().requestId());
            }
            CallResult answer = failure == null
                    ? result
                    : refuse(Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS), 0);
            connection.send(frame.id(), new AnswerMessage(answer));
        });
    }

    private CompletableFuture<CallResult> attempt(Member member, CallRequest call) {
        if (members.isSelf(member)) {
            return gate.handle(call);
        }
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        network.connect(MemberService.toAddress(member)).whenComplete((connection, failure) -> {
            if (failure != null) {
                result.complete(toLost(failure, call));
            } else {
                exchange(connection, call, result);
            }
        });
        return result;
    }

    private void exchange(PeerConnection connection, CallRequest call, CompletableFuture<CallResult> result) {
        PeerConnection.PendingRequest pending = connection.request(new CallMessage(call));
        var timeout = timer.schedule(
                () -> {
                    connection.forget(pending.id());
                    connection.send(pending.id(), new CancelMessage());
                    result.complete(refuse(Refusal.ofUnknown(RefusalReason.DEADLINE_EXCEEDED, RETRY_AFTER_MS), 0));
                },
                call.timeoutMs(),
                TimeUnit.MILLISECONDS);
        pending.answer().whenComplete((message, failure) -> {
            timeout.cancel(false);
            result.complete(failure != null ? toLost(failure, call) : toResult(message));
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

    private double toLoad(Member member) {
        LoadReport load = loads.get(member.instance());
        return load == null ? 0 : (double) load.inFlight() / Math.max(1, load.limit());
    }

    /** The attempts of one call, one after the other. */
    private final class Attempts {

        private final CallRequest call;
        private final long deadlineMs;
        private final RetryBudget budget;
        private final RetryRatio ratio;
        private final Set<String> tried = new HashSet<>();
        private final CompletableFuture<CallResult> result = new CompletableFuture<>();

        Attempts(CallRequest call, long deadlineMs, RetryRatio ratio) {
            this.call = call;
            this.deadlineMs = deadlineMs;
            this.budget = new RetryBudget(call.retryTokens());
            this.ratio = ratio;
        }

        void next() {
            Optional<Member> member = InstanceChoice.pick(
                    members.findServing(call.service()),
                    members.getSelf().zone(),
                    tried,
                    CallService.this::toLoad,
                    ThreadLocalRandom.current().nextLong());
            if (member.isEmpty()) {
                Refusal refusal = Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS);
                result.complete(refuse(refusal, budget.getTokens()));
                return;
            }
            tried.add(member.get().instance());
            long leftMs = Math.max(0, deadlineMs - clock.monotonicMs());
            int lent = budget.lend();
            CallRequest attempt = call.toAttempt(leftMs, lent);
            attempt(member.get(), attempt).whenComplete((answer, failure) -> onAnswer(member.get(), answer, failure));
        }

        private boolean trySpend() {
            synchronized (ratio) {
                return budget.getTokens() > 0 && ratio.trySpend() && budget.trySpend();
            }
        }

        private void onAnswer(Member member, CallResult answer, Throwable failure) {
            if (failure != null) {
                Logger.error(
                        failure, "attempt-failed request={}", call.context().requestId());
                Refusal refusal = Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS);
                result.complete(refuse(refusal, 0));
                return;
            }
            answer.load().ifPresent(load -> loads.put(member.instance(), load));
            budget.giveBack(answer.retryTokens());
            boolean isAgain = answer.refusal().isPresent()
                    && RetryDecision.isAllowed(
                            answer.refusal().get(), call.context().idempotent())
                    && deadlineMs > clock.monotonicMs()
                    && trySpend();
            if (isAgain) {
                next();
                return;
            }
            result.complete(new CallResult(
                    answer.status(),
                    answer.headers(),
                    answer.body(),
                    answer.refusal(),
                    budget.getTokens(),
                    answer.load()));
        }
    }
}
