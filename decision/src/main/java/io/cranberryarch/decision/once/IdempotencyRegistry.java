package io.cranberryarch.decision.once;

import io.cranberryarch.context.CallResult;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which idempotency keys ran at this gate, and their answers. Not thread-safe.
 *
 * <p>Every key is kept for the retention. Answers are kept within a bound of bytes; a key whose answer was dropped is
 * still known as run. After the retention a key is forgotten, but the greatest creation time of the forgotten keys is
 * kept, and no key as old as that runs any more. When there is no room for another key, no new key runs.
 *
 * <pre>
 * KeyDecision decision = ledger.begin(request, firstUse, nowMs);
 * if (decision.action() == KeyAction.RUN) {
 *     // run, then
 *     ledger.end(request.key(), result);
 * }
 * </pre>
 */
public final class IdempotencyRegistry {

    /** How long a key is kept, in milliseconds. */
    public static final long RETENTION_MS = 600_000;

    /** The largest answer that is kept, in bytes. */
    public static final int MAX_STORED_ANSWER_BYTES = 16 * 1024;

    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Map<String, Execution> executions = new LinkedHashMap<>();
    private long answerBytes;
    private long forgottenUpToMs = Long.MIN_VALUE;

    /**
     * Creates an empty ledger.
     *
     * @param maxKeys the greatest number of keys
     * @param maxAnswerBytes the bound for all stored answers together, in bytes
     */
    public IdempotencyRegistry(int maxKeys, long maxAnswerBytes) {
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Decides about a request under a key.
     *
     * @param request the request
     * @param firstUse what {@link FirstUsePolicy} says about a key that was not seen before
     * @param nowMs monotonic time in milliseconds
     * @return the decision; after {@link KeyAction#RUN}, {@link #end} or {@link #remove} must follow
     */
    public KeyDecision begin(KeyedRequest request, KeyAction firstUse, long nowMs) {
        evict(nowMs);
        Execution known = executions.get(request.key());
        if (known != null) {
            return known.toDecision(request.digest());
        }
        if (firstUse != KeyAction.RUN) {
            return KeyDecision.of(firstUse);
        }
        if (request.createdAtMs().isPresent() && request.createdAtMs().getAsLong() <= forgottenUpToMs) {
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
     * @param key the key of a request that runs
     * @param result the final answer
     */
    public void end(String key, CallResult result) {
        Execution known = executions.get(key);
        if (known == null || known.hasEnded) {
            return;
        }
        known.hasEnded = true;
        if (result.body().length > MAX_STORED_ANSWER_BYTES) {
            return;
        }
        known.answer = Optional.of(result);
        answerBytes += result.body().length;
        dropAnswers();
    }

    /**
     * Forgets a key whose request certainly did not run, so that it may run later.
     *
     * @param key the key of a request that runs
     */
    public void remove(String key) {
        Execution known = executions.get(key);
        if (known != null && !known.hasEnded) {
            executions.remove(key);
        }
    }

    /**
     * Counts the keys.
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
                forgottenUpToMs = Math.max(
                        forgottenUpToMs, execution.request.createdAtMs().orElse(Long.MIN_VALUE));
            }
        }
    }

    private void dropAnswers() {
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
