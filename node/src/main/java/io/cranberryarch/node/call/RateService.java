package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.rate.TokenBucket;
import io.cranberryarch.settings.ClientAccount;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Charges requests to the rates of their client accounts. Thread-safe. */
public final class RateService {

    private final Clock clock;
    private final Map<ClientAccount, TokenBucket> buckets = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param clock the clock
     */
    public RateService(Clock clock) {
        this.clock = clock;
    }

    /**
     * Charges one request.
     *
     * @param account the client account
     * @return a refusal, or empty if the request is within the rate
     */
    public Optional<Refusal> charge(ClientAccount account) {
        long nowMs = clock.monotonicMs();
        TokenBucket bucket =
                buckets.computeIfAbsent(account, key -> new TokenBucket(key.ratePerSecond(), key.burst(), nowMs));
        synchronized (bucket) {
            if (bucket.tryTake(1, nowMs)) {
                return Optional.empty();
            }
            return Optional.of(Refusal.ofNotRun(RefusalReason.RATE_EXCEEDED, bucket.toWaitMs(1, nowMs)));
        }
    }
}
