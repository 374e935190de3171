package io.cranberryarch.decision.once;

import io.cranberryarch.context.CallResult;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which idempotency keys ran at this instance, and their answers. Not thread-safe.
 *
 * <pre>
 * ExecutionLedger.Entry entry = ledger.begin(key, nowMs);
 * if (entry.isFirst()) {
 *     // run, then
 *     ledger.end(key, result);
 * }
 * </pre>
 */
public final class ExecutionLedger {

    /** How long an answer is kept, in milliseconds. */
    public static final long RETENTION_MS = 600_000;

    private final Map<String, Execution> records = new LinkedHashMap<>();

    /**
     * Begins an execution, unless the key was seen before.
     *
     * @param key the idempotency key with its client account
     * @param nowMs monotonic time in milliseconds
     * @return whether the key is new, and else the stored answer if there is one
     */
    public Entry begin(String key, long nowMs) {
        evict(nowMs);
        Execution known = records.get(key);
        if (known != null) {
            return new Entry(false, known.result);
        }
        records.put(key, new Execution(nowMs));
        return new Entry(true, Optional.empty());
    }

    /**
     * Stores the answer of an execution.
     *
     * @param key the key given to {@link #begin}
     * @param result the final answer
     */
    public void end(String key, CallResult result) {
        Execution known = records.get(key);
        if (known != null) {
            known.result = Optional.of(result);
        }
    }

    /**
     * Forgets a key whose request did not run, so that it may run later.
     *
     * @param key the key given to {@link #begin}
     */
    public void forget(String key) {
        records.remove(key);
    }

    private void evict(long nowMs) {
        records.values().removeIf(known -> known.beganAtMs + RETENTION_MS < nowMs && known.result.isPresent());
    }

    /**
     * What is known of a key.
     *
     * @param isFirst whether the key was not seen before
     * @param result the stored answer, or empty if the execution still runs
     */
    public record Entry(boolean isFirst, Optional<CallResult> result) {}

    /** A key with the answer to its execution. */
    private static final class Execution {
        private final long beganAtMs;
        private Optional<CallResult> result = Optional.empty();

        Execution(long beganAtMs) {
            this.beganAtMs = beganAtMs;
        }
    }
}
