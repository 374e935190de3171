package io.cranberryarch.decision.once;

import io.cranberryarch.context.CallResult;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records the idempotency keys that were executed at this gate, with their answers. Not thread-safe.
 *
 * <p>Every key is kept for the retention time. Answers are kept up to a limit in bytes; a key whose answer was evicted
 * remains recorded as executed. After the retention time a key is removed, but the latest creation time of all removed
 * keys is kept, and no key created at or before that time is executed. When the registry is full, no new key is
 * executed.
 *
 * <pre>
 * KeyDecision decision = registry.begin(request, firstUse, nowMs);
 * if (decision.action() == KeyAction.RUN) {
 *     // run, then
 *     registry.end(request.key(), result);
 * }
 * </pre>
 */
public final class IdempotencyRegistry {

    /** The time for which a key is kept, in milliseconds. */
    public static final long RETENTION_MS = 600_000;

    /** The largest answer that is kept, in bytes. */
    public static final int MAX_STORED_ANSWER_BYTES = 16 * 1024;

    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Map<String, Execution> executions = new LinkedHashMap<>();
    private long answerBytes;
    private long evictedUpToMs = Long.MIN_VALUE;

    /**
     * Creates an empty registry.
     *
     * @param maxKeys the maximum number of keys
     * @param maxAnswerBytes the limit for all stored answers together, in bytes
     */
    public IdempotencyRegistry(int maxKeys, long maxAnswerBytes) {
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Decides about a request under a key.
     *
     * @param request the request, not {@code null}
     * @param firstUse the decision of {@link FirstUsePolicy} if the key is new to this gate, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @return the decision; after {@link KeyAction#RUN}, {@link #end} or {@link #remove} must follow
     */
    public KeyDecision begin(KeyedRequest request, KeyAction firstUse, long nowMs) {
        evict(nowMs);
        Execution existing = executions.get(request.key());
        if (existing != null) {
            return existing.toDecision(request.digest());
        }
        if (firstUse != KeyAction.RUN) {
            return KeyDecision.of(firstUse);
        }
        if (request.createdAtMs().isPresent() && request.createdAtMs().getAsLong() <= evictedUpToMs) {
            return KeyDecision.of(KeyAction.UNKNOWN);
        }
        if (executions.size() >= maxKeys) {
            return KeyDecision.of(KeyAction.FULL);
        }
        executions.put(request.key(), new Execution(request, nowMs));
        return KeyDecision.of(KeyAction.RUN);
    }

    /**
     * Stores the answer of an execution.
     *
     * @param key the key of a request that runs, not {@code null}
     * @param result the final answer, not {@code null}
     */
    public void end(String key, CallResult result) {
        Execution existing = executions.get(key);
        if (existing == null || existing.hasEnded) {
            return;
        }
        existing.hasEnded = true;
        if (result.body().length > MAX_STORED_ANSWER_BYTES) {
            return;
        }
        existing.answer = Optional.of(result);
        answerBytes += result.body().length;
        evictAnswers();
    }

    /**
     * Removes a key whose request is known not to have run, so that it may run later.
     *
     * @param key the key of a request that runs, not {@code null}
     */
    public void remove(String key) {
        Execution existing = executions.get(key);
        if (existing != null && !existing.hasEnded) {
            executions.remove(key);
        }
    }

    /**
     * Returns the number of recorded keys.
     *
     * @return the number of keys
     */
    public int getSize() {
        return executions.size();
    }

    private void evict(long nowMs) {
        Iterator<Execution> iterator = executions.values().iterator();
        while (iterator.hasNext()) {
            Execution execution = iterator.next();
            if (nowMs - execution.beganAtMs < RETENTION_MS) {
                return;
            }
            if (execution.hasEnded) {
                iterator.remove();
                answerBytes -= execution.getAnswerBytes();
                evictedUpToMs =
                        Math.max(evictedUpToMs, execution.request.createdAtMs().orElse(Long.MIN_VALUE));
            }
        }
    }

    private void evictAnswers() {
        if (answerBytes <= maxAnswerBytes) {
            return;
        }
        for (Execution execution : executions.values()) {
            answerBytes -= execution.getAnswerBytes();
            execution.answer = Optional.empty();
            if (answerBytes <= maxAnswerBytes) {
                return;
            }
        }
    }

    /** A key with the answer to its execution. */
    private static final class Execution {
        private final KeyedRequest request;
        private final long beganAtMs;
        private boolean hasEnded;
        private Optional<CallResult> answer = Optional.empty();

        Execution(KeyedRequest request, long beganAtMs) {
            this.request = request;
            this.beganAtMs = beganAtMs;
        }

        KeyDecision toDecision(long digest) {
            if (digest != request.digest()) {
                return KeyDecision.of(KeyAction.MISMATCH);
            }
            if (!hasEnded) {
                return KeyDecision.of(KeyAction.JOIN);
            }
            return new KeyDecision(answer.isPresent() ? KeyAction.REPLAY : KeyAction.UNKNOWN, answer);
        }

        int getAnswerBytes() {
            return answer.map(result -> result.body().length).orElse(0);
        }
    }
}
