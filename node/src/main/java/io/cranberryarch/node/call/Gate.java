package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.once.ExecutionLedger;
import io.cranberryarch.node.member.MemberService;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stands in front of the upstream: admits calls, runs non-idempotent ones at most once, and refuses the rest at once.
 *
 * <p>Thread-safe.
 */
public final class Gate {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Clock clock;
    private final MemberService members;
    private final UpstreamClient upstream;
    private final ActiveCalls activeCalls;
    private final Admission admission;
    private final ExecutionLedger ledger = new ExecutionLedger();

    /**
     * Creates a gate.
     *
     * @param clock the clock
     * @param members tells the state of this node
     * @param upstream sends calls to the upstream
     * @param activeCalls the calls that the upstream runs now
     * @param admission admits calls
     */
    public Gate(
            Clock clock, MemberService members, UpstreamClient upstream, ActiveCalls activeCalls, Admission admission) {
        this.clock = clock;
        this.members = members;
        this.upstream = upstream;
        this.activeCalls = activeCalls;
        this.admission = admission;
    }

    /**
     * Runs a call or refuses it.
     *
     * @param call the call
     * @return the final answer, never a failed future
     */
    public CompletableFuture<CallResult> handle(CallRequest call) {
        Optional<Refusal> refusal = check(call);
        if (refusal.isPresent()) {
            return refuse(call, refusal.get());
        }
        Optional<String> key = toLedgerKey(call.context());
        if (key.isEmpty()) {
            return admit(call);
        }
        ExecutionLedger.Entry entry;
        synchronized (ledger) {
            entry = ledger.begin(key.get(), clock.monotonicMs());
        }
        if (entry.isFirst()) {
            return admit(call).thenApply(result -> store(key.get(), result));
        }
        return entry.result()
                .map(result -> CompletableFuture.completedFuture(withLoad(result, call.retryTokens())))
                .orElseGet(() -> refuse(call, Refusal.ofUnknown(RefusalReason.IDEMPOTENCY_RUNNING, RETRY_AFTER_MS)));
    }

    /**
     * Gets the load.
     *
     * @return calls in flight and the limit
     */
    public LoadReport getLoad() {
        return admission.getLoad();
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

    private CompletableFuture<CallResult> admit(CallRequest call) {
        long arrivedAtMs = clock.monotonicMs();
        return admission
                .enter(call)
                .thenCompose(refusal -> refusal.isPresent()
                        ? refuse(call, refusal.get())
                        : run(call.toAttempt(
                                call.timeoutMs() - clock.monotonicMs() + arrivedAtMs, call.retryTokens())));
    }

    private CompletableFuture<CallResult> run(CallRequest call) {
        long startedAtMs = clock.monotonicMs();
        ActiveCall active = new ActiveCall(call.context(), startedAtMs + call.timeoutMs(), call.retryTokens());
        long id = activeCalls.add(active);
        return upstream.send(call, activeCalls.toToken(id)).thenApply(result -> {
            activeCalls.remove(id);
            admission.exit(call, result, clock.monotonicMs() - startedAtMs);
            return withLoad(result, active.getRetries());
        });
    }

    private CallResult store(String key, CallResult result) {
        synchronized (ledger) {
            if (result.toExecution() == Execution.NOT_RUN) {
                ledger.forget(key);
            } else {
                ledger.end(key, result);
            }
        }
        return result;
    }

    private CompletableFuture<CallResult> refuse(CallRequest call, Refusal refusal) {
        return CompletableFuture.completedFuture(
                CallResult.ofRefusal(refusal, call.retryTokens(), Optional.of(getLoad())));
    }

    private CallResult withLoad(CallResult result, int retryTokens) {
        return new CallResult(
                result.status(),
                result.headers(),
                result.body(),
                result.refusal(),
                retryTokens,
                Optional.of(getLoad()));
    }

    private static Optional<String> toLedgerKey(RequestContext context) {
        if (context.idempotent()) {
            return Optional.empty();
        }
        return context.idempotencyKey().map(key -> context.account() + "/" + key);
    }
}
