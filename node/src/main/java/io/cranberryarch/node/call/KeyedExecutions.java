package io.cranberryarch.node.call;

import com.dynatrace.hash4j.hashing.Hashing;
import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.once.IdempotencyRegistry;
import io.cranberryarch.decision.once.KeyAction;
import io.cranberryarch.decision.once.KeyDecision;
import io.cranberryarch.decision.once.KeyedRequest;
import io.cranberryarch.node.metrics.NodeMetrics;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Runs calls with idempotency keys at most once in this process, and returns the result of the first to repeated calls.
 *
 * <p>State is divided into shards with one lock each. Thread-safe.
 */
final class KeyedExecutions {

    private static final int SHARD_COUNT = 16;
    private static final int MAX_KEYS_PER_SHARD = 4_096;
    private static final long MAX_RESULT_BYTES_PER_SHARD = 512 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;

    private final Clock clock;
    private final NodeMetrics metrics;
    private final Shard[] shards = new Shard[SHARD_COUNT];

    KeyedExecutions(Clock clock, NodeMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards[i] = new Shard();
        }
    }

    /**
     * Runs a call, joins it to a running call with the same key, replays a stored result, or refuses it.
     *
     * @param call the call
     * @param key its idempotency key, scoped to the client account
     * @param createdAtMs time of day when the key was created, or empty if the key does not contain it
     * @param firstUse the action if the key is new
     * @param runner runs the call
     * @return the final result, never completed exceptionally
     */
    CompletableFuture<CallResult> handle(
            CallRequest call,
            String key,
            OptionalLong createdAtMs,
            KeyAction firstUse,
            Function<CallRequest, CompletableFuture<CallResult>> runner) {
        KeyedRequest request = new KeyedRequest(key, toDigest(call), createdAtMs);
        Shard shard = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)];
        CompletableFuture<CallResult> running;
        KeyDecision decision;
        synchronized (shard) {
            decision = shard.registry.begin(request, firstUse, clock.monotonicMs());
            running = decision.action() == KeyAction.RUN
                    ? shard.running.computeIfAbsent(key, unused -> new CompletableFuture<>())
                    : shard.running.get(key);
        }
        metrics.getRegistry()
                .counter("idempotency_keys{action=\"" + toText(decision.action()) + "\"}")
                .inc();
        return switch (decision.action()) {
            case RUN -> {
                runner.apply(call).whenComplete((result, failure) -> shard.finish(key, toResult(result, failure)));
                yield running;
            }
            case JOIN -> join(call, running);
            case REPLAY -> CompletableFuture.completedFuture(decision.answer().orElseThrow());
            default -> CompletableFuture.completedFuture(refuse(decision.action()));
        };
    }

    private static CompletableFuture<CallResult> join(CallRequest call, CompletableFuture<CallResult> running) {
        CallResult timedOut = CallResult.ofRefusal(
                Refusal.ofUnknown(RefusalReason.DEADLINE_EXCEEDED, RETRY_AFTER_MS), 0, Optional.empty());
        return running.thenApply(Function.identity())
                .completeOnTimeout(timedOut, call.timeoutMs(), TimeUnit.MILLISECONDS);
    }

    private static CallResult refuse(KeyAction action) {
        Refusal refusal =
                switch (action) {
                    case MISMATCH -> Refusal.ofUnknown(RefusalReason.IDEMPOTENCY_MISMATCH, 0);
                    case TOO_EARLY -> Refusal.ofNotRun(RefusalReason.BAD_REQUEST, RETRY_AFTER_MS);
                    case FULL -> Refusal.ofNotRun(RefusalReason.OVERLOADED, RETRY_AFTER_MS);
                    case NOT_OWNER -> Refusal.ofNotRun(RefusalReason.NOT_KEY_OWNER, RETRY_AFTER_MS);
                    default -> Refusal.ofUnknown(RefusalReason.IDEMPOTENCY_UNKNOWN, 0);
                };
        return CallResult.ofRefusal(refusal, 0, Optional.empty());
    }

    private static CallResult toResult(CallResult result, Throwable failure) {
        return failure == null
                ? result
                : CallResult.ofRefusal(
                        Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, RETRY_AFTER_MS), 0, Optional.empty());
    }

    private static long toDigest(CallRequest call) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(call.method())
                .putString(call.target())
                .putByteArray(call.body())
                .getAsLong();
    }

    private static String toText(KeyAction action) {
        return action.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The keys of one hash partition, guarded by one lock. */
    private static final class Shard {
        private final IdempotencyRegistry registry =
                new IdempotencyRegistry(MAX_KEYS_PER_SHARD, MAX_RESULT_BYTES_PER_SHARD);
        private final Map<String, CompletableFuture<CallResult>> running = new HashMap<>();

        void finish(String key, CallResult result) {
            CompletableFuture<CallResult> pending;
            synchronized (this) {
                pending = running.remove(key);
                if (result.toExecution() == Execution.NOT_RUN) {
                    registry.remove(key);
                } else {
                    registry.end(key, result);
                }
            }
            pending.complete(result);
        }
    }
}
