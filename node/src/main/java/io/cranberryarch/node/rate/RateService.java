package io.cranberryarch.node.rate;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.cranberryarch.base.Clock;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenHolder;
import io.cranberryarch.decision.rate.TokenRequest;
import io.cranberryarch.settings.ClientAccount;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Charges requests to the rates of their client accounts, which apply to the fleet as a whole.
 *
 * <p>Most requests spend a token that this node holds. If there is none, a request waits for a response of the
 * allocators for a bounded time. Thread-safe; each account has its own lock.
 *
 * <pre>
 * rates.charge(account).thenAccept(refusal -&gt; ...);
 * </pre>
 */
public final class RateService {

    private static final long TICK_INTERVAL_MS = 20;
    private static final long ALLOCATOR_TICK_INTERVAL_MS = 250;
    private static final long MAX_WAIT_MS = 500;
    private static final int MAX_WAITING_CALLS = 1_000;
    private static final CompletableFuture<Optional<Refusal>> ADMITTED =
            CompletableFuture.completedFuture(Optional.empty());

    private final Clock clock;
    private final RateAllocators allocators;
    private final TokenRouter router;
    private final List<String> zones;
    private final Map<String, AccountTokens> accounts = new ConcurrentHashMap<>();
    private final Counter tokenRequests;
    private final Counter exceededRefusals;
    private final Counter unavailableRefusals;
    private final Histogram waitMillis;

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param allocators the allocators of this node
     * @param router routes token requests to allocators
     * @param zones all zones of the fleet, the zone of this node first
     * @param metrics the registry for counters and the histogram of waiting times
     */
    public RateService(
            Clock clock, RateAllocators allocators, TokenRouter router, List<String> zones, MetricRegistry metrics) {
        this.clock = clock;
        this.allocators = allocators;
        this.router = router;
        this.zones = List.copyOf(zones);
        this.tokenRequests = metrics.counter("rate_token_requests");
        this.exceededRefusals = metrics.counter("rate_refusals{reason=\"rate-exceeded\"}");
        this.unavailableRefusals = metrics.counter("rate_refusals{reason=\"rate-unavailable\"}");
        this.waitMillis = metrics.histogram("rate_wait_millis");
    }

    /**
     * Starts to contend for allocator leases and to settle grants.
     *
     * @param timer schedules both
     */
    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::tickAllocators, 0, ALLOCATOR_TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Checks whether requests can be charged.
     *
     * @return whether the allocators of the zone of this node are known
     */
    public boolean isReady() {
        return allocators.isReady();
    }

    /**
     * Charges one request.
     *
     * @param account the client account, not {@code null}
     * @return a refusal, or empty if the request is within the rate; never a failed future
     */
    public CompletableFuture<Optional<Refusal>> charge(ClientAccount account) {
        while (true) {
            AccountTokens tokens = accounts.computeIfAbsent(account.name(), AccountTokens::new);
            Optional<CompletableFuture<Optional<Refusal>>> charged = tokens.charge();
            if (charged.isPresent()) {
                return charged.get();
            }
        }
    }

    private void tick() {
        try {
            for (Map.Entry<String, AccountTokens> entry : accounts.entrySet()) {
                if (entry.getValue().tick()) {
                    accounts.remove(entry.getKey(), entry.getValue());
                }
            }
        } catch (RuntimeException e) {
            Logger.error(e, "rate-tick-failed");
        }
    }

    private void tickAllocators() {
        try {
            allocators.tick();
        } catch (RuntimeException e) {
            Logger.error(e, "rate-allocators-failed");
        }
    }

    /** A call that waits for a token. */
    private record Waiter(CompletableFuture<Optional<Refusal>> result, long sinceMs) {}

    /** Actions to perform after the lock is released: token requests to send and waiting calls to complete. */
    private static final class PendingActions {

        private final List<TokenRequest> tokenRequests = new ArrayList<>();
        private final List<Waiter> admitted = new ArrayList<>();
        private final List<Waiter> timedOut = new ArrayList<>();
        private final List<Waiter> refused = new ArrayList<>();
    }

    /** The tokens of a client account and the calls that wait for them. */
    private final class AccountTokens {

        private final String account;
        private final TokenHolder holder;
        private final Deque<Waiter> waiting = new ArrayDeque<>();
        private boolean isClosed;

        AccountTokens(String account) {
            this.account = account;
            this.holder = new TokenHolder(account, zones, 1);
        }

        /** Charges a call. Returns empty if this object is closed. */
        Optional<CompletableFuture<Optional<Refusal>>> charge() {
            PendingActions actions = new PendingActions();
            CompletableFuture<Optional<Refusal>> result;
            synchronized (this) {
                if (isClosed) {
                    return Optional.empty();
                }
                long nowMs = clock.monotonicMs();
                holder.onCall(nowMs);
                result = spendOrWait(nowMs);
                admitWaiting(actions, nowMs);
            }
            perform(actions);
            return Optional.of(result);
        }

        /** Refuses waiters that timed out, settles grants, and returns whether this object is idle and now closed. */
        boolean tick() {
            PendingActions actions = new PendingActions();
            synchronized (this) {
                long nowMs = clock.monotonicMs();
                while (!waiting.isEmpty() && nowMs - waiting.peek().sinceMs() > MAX_WAIT_MS) {
                    actions.timedOut.add(waiting.poll());
                }
                actions.tokenRequests.addAll(holder.settle(nowMs));
                admitWaiting(actions, nowMs);
                isClosed = waiting.isEmpty() && actions.tokenRequests.isEmpty() && holder.isIdle(nowMs);
            }
            perform(actions);
            return isClosed;
        }

        private CompletableFuture<Optional<Refusal>> spendOrWait(long nowMs) {
            if (waiting.isEmpty() && holder.trySpend(nowMs)) {
                return ADMITTED;
            }
            if (waiting.size() >= MAX_WAITING_CALLS || !holder.isWaitUseful(nowMs)) {
                return CompletableFuture.completedFuture(Optional.of(toRefusal(true, nowMs)));
            }
            Waiter waiter = new Waiter(new CompletableFuture<>(), nowMs);
            waiting.add(waiter);
            return waiter.result();
        }

        private void onResponse(TokenRequest request, Optional<TokenAnswer> response) {
            PendingActions actions = new PendingActions();
            synchronized (this) {
                long nowMs = clock.monotonicMs();
                if (response.isPresent()) {
                    holder.onAnswer(request.zone(), response.get(), nowMs);
                } else {
                    holder.onFailure(request, nowMs);
                }
                admitWaiting(actions, nowMs);
            }
            perform(actions);
        }

        /** Admits waiters while there are tokens, requests more, and refuses the rest if no allocator is available. */
        private void admitWaiting(PendingActions actions, long nowMs) {
            while (!waiting.isEmpty() && holder.trySpend(nowMs)) {
                actions.admitted.add(waiting.poll());
            }
            actions.tokenRequests.addAll(holder.request(waiting.size(), nowMs));
            if (!holder.isWaitUseful(nowMs)) {
                actions.refused.addAll(waiting);
                waiting.clear();
            }
        }

        private void perform(PendingActions actions) {
            long nowMs = clock.monotonicMs();
            for (TokenRequest request : actions.tokenRequests) {
                send(request);
            }
            for (Waiter waiter : actions.admitted) {
                waitMillis.update(nowMs - waiter.sinceMs());
                waiter.result().complete(Optional.empty());
            }
            for (Waiter waiter : actions.timedOut) {
                waiter.result().complete(Optional.of(toRefusal(false, nowMs)));
            }
            for (Waiter waiter : actions.refused) {
                waiter.result().complete(Optional.of(toRefusal(true, nowMs)));
            }
        }

        private void send(TokenRequest request) {
            tokenRequests.inc();
            router.send(request).whenComplete((response, failure) -> {
                if (request.wanted() > 0) {
                    onResponse(request, failure == null ? response : Optional.empty());
                }
            });
        }

        /** Creates a refusal. Its reason is an exceeded rate only if an allocator has confirmed that. */
        private synchronized Refusal toRefusal(boolean isAnswered, long nowMs) {
            boolean isRateExceeded = isAnswered && holder.isAnyAllocatorAvailable();
            (isRateExceeded ? exceededRefusals : unavailableRefusals).inc();
            Logger.debug("rate-refused account={} served={}", account, isRateExceeded);
            long waitMs = holder.toRetryAfterMs(nowMs);
            long jitterMs = ThreadLocalRandom.current().nextLong(waitMs + 1);
            RefusalReason reason = isRateExceeded ? RefusalReason.RATE_EXCEEDED : RefusalReason.RATE_UNAVAILABLE;
            return Refusal.ofNotRun(reason, waitMs + jitterMs);
        }
    }
}
