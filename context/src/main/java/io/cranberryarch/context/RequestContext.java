package io.cranberryarch.context;

import io.cranberryarch.settings.Priority;
import java.util.Optional;

/**
 * What every node on the way of a request knows about it.
 *
 * @param requestId the identifier of the caller's request, the same at every depth
 * @param account the client account, empty on routes open to all
 * @param kind the kind of the caller's request
 * @param priority the importance of the caller's request
 * @param idempotent whether this call may run more than once
 * @param idempotencyKey the key under which this call runs at most once
 * @param depth the number of calls above this one
 * @param isFirstAttempt whether nothing can have reached a gate under the key before, as the caller and the entry say
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

    /** The greatest depth of a chain of calls. */
    public static final int MAX_DEPTH = 16;

    /**
     * Creates the context of a call that may be a repeated attempt.
     *
     * @param requestId the identifier of the caller's request
     * @param account the client account, empty on routes open to all
     * @param kind the kind of the caller's request
     * @param priority the importance of the caller's request
     * @param idempotent whether this call may run more than once
     * @param idempotencyKey the key under which this call runs at most once
     * @param depth the number of calls above this one
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
     * Copies this context for another attempt after one that may have reached a gate.
     *
     * @return the same context, no longer of a first attempt
     */
    public RequestContext toRetry() {
        return new RequestContext(requestId, account, kind, priority, idempotent, idempotencyKey, depth, false);
    }

    /**
     * Derives the context of a call that an upstream makes while it serves this one.
     *
     * @param nestedIdempotent whether the nested call may run more than once
     * @param nestedKey the idempotency key of the nested call
     * @return a context one level deeper with the same request, account, kind and priority
     */
    public RequestContext toNested(boolean nestedIdempotent, Optional<String> nestedKey) {
        return new RequestContext(requestId, account, kind, priority, nestedIdempotent, nestedKey, depth + 1);
    }

    /**
     * Gets the key under which this call must run at most once, unique among all client accounts.
     *
     * @return the idempotency key with its client account, or empty if there is none or the call may run repeatedly
     */
    public Optional<String> toAtMostOnceKey() {
        return idempotent ? Optional.empty() : idempotencyKey.map(key -> account + "/" + key);
    }
}
