package io.cranberryarch.decision.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Grants the tokens of all client accounts in one shard of one availability zone, under one epoch of its lease.
 *
 * <p>An earlier holder of the lease may have granted the whole burst. Each bucket therefore starts empty and is filled
 * only after the last grant of the earlier holder has expired. Not thread-safe.
 */
public final class ShardAllocator {

    private final long epoch;
    private final boolean isFirst;
    private final long fillsFromMs;
    private final Map<String, TokenAllocator> allocators = new HashMap<>();

    /**
     * Creates the allocator of a new epoch.
     *
     * @param epoch the epoch of the lease
     * @param isFirst whether the lease had no earlier holder, so that buckets may start full
     * @param heldSinceMs when the lease was first observed as held, monotonic time in milliseconds
     */
    public ShardAllocator(long epoch, boolean isFirst, long heldSinceMs) {
        this.epoch = epoch;
        this.isFirst = isFirst;
        this.fillsFromMs = heldSinceMs + TokenAllocator.GRANT_LENGTH_MS;
    }

    /**
     * Returns the epoch of the lease.
     *
     * @return the epoch
     */
    public long getEpoch() {
        return epoch;
    }

    /**
     * Settles earlier grants and grants tokens. Must be called only if the lease of the epoch is held at {@code nowMs}.
     *
     * @param request the request, not {@code null}
     * @param share the share of the account under the settings in force at this node, not {@code null}
     * @param nowMs monotonic time when the request was received, in milliseconds
     * @return the answer
     */
    public TokenAnswer handle(TokenRequest request, RateShare share, long nowMs) {
        TokenAllocator allocator = allocators.computeIfAbsent(
                request.account(),
                account -> new TokenAllocator(share, epoch, isFirst ? share.burst() : 0, fillsFromMs));
        allocator.configure(share, nowMs);
        return allocator.handle(request, nowMs);
    }

    /**
     * Applies changed settings to all accounts. Must be called when settings come into force, so that buckets stop
     * filling at the previous rate.
     *
     * @param shareByAccount computes the share of an account by its name, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void configure(Function<String, RateShare> shareByAccount, long nowMs) {
        for (Map.Entry<String, TokenAllocator> entry : allocators.entrySet()) {
            entry.getValue().configure(shareByAccount.apply(entry.getKey()), nowMs);
        }
    }
}
