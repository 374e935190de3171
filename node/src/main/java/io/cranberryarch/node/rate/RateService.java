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
 * Charges requests to the rates of their client accounts, which count across the fleet.
 *
 * <p>Most requests spend a token that this node holds. One that finds none waits for an answer of the allocators, for a
 * bounded time. Thread-safe; each account has its own lock.
 *
 * <pre>
 * rates.charge(account).thenAccept(refusal -&gt; ...);
 * </pre>
 */
public final class RateService {

    private static final long TICK_MS = 20;
    private static final long ALLOCATOR_TICK_MS = 250;
    private static final long MAX_WAIT_MS = 500;
    private static final int MAX_WAITING = 1_000;
    private static final CompletableFuture<Optional<Refusal>> ADMITTED =
            CompletableFuture.completedFuture(Optional.empty());

    private final Clock clock;
    private final RateAllocators allocators;
    private final TokenRouter router;
    private final List<String> zones;
    private final Map<String, Slot> slots = new ConcurrentHashMap<>();
    private final Counter requests;
    private final Counter refusals;
    private final Counter unavailable;
    private final Histogram waits;

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param allocators the allocators of this node
     * @param router sends requests to allocators
     * @param zones all zones of the fleet, the own one first
     * @param metrics the registry for counters
     */
    public RateService(
            Clock clock, RateAllocators allocators, TokenRouter router, List<String> zones, MetricRegistry metrics) {
        this.clock = clock;
        this.allocators = allocators;
        this.router = router;
        this.zones = List.copyOf(zones);
        this.requests = metrics.counter("rate_token_requests");
        this.refusals = metrics.counter("rate_refusals{reason=\"rate-exceeded\"}");
        this.unavailable = metrics.counter("rate_refusals{reason=\"rate-unavailable\"}");
        this.waits = metrics.histogram("rate_wait_millis");
    }

    /**
     * Starts to contend for leases and to settle grants.
     *
     * @param timer runs both
     */
    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::tickAllocators, 0, ALLOCATOR_TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Checks whether requests can be charged.
     *
     * @return whether the allocators of this zone are known
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
            Slot slot = slots.computeIfAbsent(account.name(), Slot::new);
            Optional<CompletableFuture<Optional<Refusal>>> charged = slot.charge();
            if (charged.isPresent()) {
                return charged.get();
            }
        }
    }

    private void tick() {
        try {
            for (Map.Entry<String, Slot> entry : slots.entrySet()) {
                if (entry.getValue().tick()) {
                    slots.remove(entry.getKey(), entry.getValue());
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

    /** What comes of an event: requests to send and calls to go on, without the lock. */
    private static final class Effects {

        private final List<TokenRequest> requests = new ArrayList<>();
        private final List<Waiter> admitted = new ArrayList<>();
        private final List<Waiter> overdue = new ArrayList<>();
        private final List<Waiter> refused = new ArrayList<>();
    }

    /** The tokens of one client account and the calls that wait for them. */
    private final class Slot {

        private final String account;
        private final TokenHolder holder;
        private final Deque<Waiter> waiting = new ArrayDeque<>();
        private boolean isClosed;

        Slot(String account) {
            this.account = account;
            this.holder = new TokenHolder(account, zones, 1);
        }

        /** Charges a call, unless this slot is closed. */
        Optional<CompletableFuture<Optional<Refusal>>> charge() {
            Effects effects = new Effects();
            CompletableFuture<Optional<Refusal>> result;
            synchronized (this) {
                if (isClosed) {
                    return Optional.empty();
                }
                long nowMs = clock.monotonicMs();
                holder.onCall(nowMs);
                result = enter(nowMs);
                advance(effects, nowMs);
            }
            run(effects);
            return Optional.of(result);
        }

        /** Takes overdue waiters out, settles grants and tells whether this slot is closed. */
        boolean tick() {
            Effects effects = new Effects();
            synchronized (this) {
                long nowMs = clock.monotonicMs();
                while (!waiting.isEmpty() && nowMs - waiting.peek().sinceMs() > MAX_WAIT_MS) {
                    effects.overdue.add(waiting.poll());
                }
                effects.requests.addAll(holder.settle(nowMs));
                advance(effects, nowMs);
                isClosed = waiting.isEmpty() && effects.requests.isEmpty() && holder.isIdle(nowMs);
            }
            run(effects);
            return isClosed;
        }

        private CompletableFuture<Optional<Refusal>> enter(long nowMs) {
            if (waiting.isEmpty() && holder.trySpend(nowMs)) {
                return ADMITTED;
            }
            if (waiting.size() >= MAX_WAITING || !holder.isWaitUseful(nowMs)) {
                return CompletableFuture.completedFuture(Optional.of(toRefusal(true, nowMs)));
            }
            Waiter waiter = new Waiter(new CompletableFuture<>(), nowMs);
            waiting.add(waiter);
            return waiter.result();
        }

        private void onAnswer(TokenRequest request, Optional<TokenAnswer> answer) {
            Effects effects = new Effects();
            synchronized (this) {
                long nowMs = clock.monotonicMs();
                if (answer.isPresent()) {
                    holder.onAnswer(request.zone(), answer.get(), nowMs);
                } else {
                    holder.onFailure(request, nowMs);
                }
                advance(effects, nowMs);
            }
            run(effects);
        }

        /** Admits waiters while there are tokens, asks for more, and refuses the rest if nobody can be asked. */
        private void advance(Effects effects, long nowMs) {
            while (!waiting.isEmpty() && holder.trySpend(nowMs)) {
                effects.admitted.add(waiting.poll());
            }
            effects.requests.addAll(holder.request(waiting.size(), nowMs));
            if (!holder.isWaitUseful(nowMs)) {
                effects.refused.addAll(waiting);
                waiting.clear();
            }
        }

        private void run(Effects effects) {
            long nowMs = clock.monotonicMs();
            for (TokenRequest request : effects.requests) {
                send(request);
            }
            for (Waiter waiter : effects.admitted) {
                waits.update(nowMs - waiter.sinceMs());
                waiter.result().complete(Optional.empty());
            }
            for (Waiter waiter : effects.overdue) {
                waiter.result().complete(Optional.of(toRefusal(false, nowMs)));
            }
            for (Waiter waiter : effects.refused) {
                waiter.result().complete(Optional.of(toRefusal(true, nowMs)));
            }
        }

        private void send(TokenRequest request) {
            requests.inc();
            router.send(request).whenComplete((answer, failure) -> {
                if (request.wanted() > 0) {
                    onAnswer(request, failure == null ? answer : Optional.empty());
                }
            });
        }

        /** Says that the account is above its rate only if the allocators have said so. */
        private synchronized Refusal toRefusal(boolean isAnswered, long nowMs) {
            boolean isServed = isAnswered && holder.isAnyAllocatorAvailable();
            (isServed ? refusals : unavailable).inc();
            Logger.debug("rate-refused account={} served={}", account, isServed);
            long waitMs = holder.toRetryAfterMs(nowMs);
            long jitterMs = ThreadLocalRandom.current().nextLong(waitMs + 1);
            RefusalReason reason = isServed ? RefusalReason.RATE_EXCEEDED : RefusalReason.RATE_UNAVAILABLE;
            return Refusal.ofNotRun(reason, waitMs + jitterMs);
        }
    }
}
