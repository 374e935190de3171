package io.cranberryarch.context;

import io.cranberryarch.settings.Priority;
import java.util.Optional;

/**
 * The context of a call, which every node on its path receives.
 *
 * @param requestId the identifier of the caller's request, the same at every depth
 * @param account the client account, empty on routes that need no key
 * @param kind the kind of the caller's request
 * @param priority the importance of the caller's request
 * @param idempotent whether this call may run more than once
 * @param idempotencyKey the key under which this call runs at most once, or empty
 * @param depth the number of enclosing calls
 * @param isFirstAttempt whether no earlier attempt under the key can have reached a gate, as reported by the caller and
 *     the entry
 */
public record RequestContext(
        String requestId,
        String account,
        String kind,
        Priority priority,
        boolean idempotent,
        Optional<String> idempotencyKey,
        int depth,
        boolean isFirstAttempt) {

    /** The maximum depth of a chain of calls. */
    public static final int MAX_DEPTH = 16;

    /**
     * Creates the context of a call that may be a repeated attempt.
     *
     * @param requestId the identifier of the caller's request
     * @param account the client account, empty on routes that need no key
     * @param kind the kind of the caller's request
     * @param priority the importance of the caller's request
     * @param idempotent whether this call may run more than once
     * @param idempotencyKey the key under which this call runs at most once, or empty
     * @param depth the number of enclosing calls
     */
    public RequestContext(
            String requestId,
            String account,
            String kind,
            Priority priority,
            boolean idempotent,
            Optional<String> idempotencyKey,
            int depth) {
        this(requestId, account, kind, priority, idempotent, idempotencyKey, depth, false);
    }

    /**
     * Copies this context for a retry after an attempt that may have reached a gate.
     *
     * @return the copy, which is not a first attempt
     */
    public RequestContext toRetry() {
        return new RequestContext(requestId, account, kind, priority, idempotent, idempotencyKey, depth, false);
    }

    /**
     * Creates the context of a nested call that an upstream makes while it runs this one.
     *
     * @param nestedIdempotent whether the nested call may run more than once
     * @param nestedKey the idempotency key of the nested call, or empty
     * @return a context one level deeper with the same request identifier, account, kind and priority
     */
    public RequestContext toNested(boolean nestedIdempotent, Optional<String> nestedKey) {
        return new RequestContext(requestId, account, kind, priority, nestedIdempotent, nestedKey, depth + 1);
    }

    /**
     * Returns the key under which this call must run at most once, unique over all client accounts.
     *
     * @return the idempotency key with its client account, or empty if there is none or the call may run repeatedly
     */
    public Optional<String> toAtMostOnceKey() {
        return idempotent ? Optional.empty() : idempotencyKey.map(key -> account + "/" + key);
    }
}
