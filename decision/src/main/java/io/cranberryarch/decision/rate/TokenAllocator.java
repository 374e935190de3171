package io.cranberryarch.decision.rate;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants the tokens of one client account's share to holders. Each grant is valid for a short time.
 *
 * <p>The tokens in the bucket plus the granted tokens that may be unspent never exceed the burst. Over any interval of
 * {@code t} seconds all holders together therefore spend at most {@code rate * t + burst}, even if messages are lost,
 * duplicated, delayed or reordered. Not thread-safe.
 *
 * <pre>
 * TokenAllocator allocator = new TokenAllocator(share, epoch, level, nowMs);
 * TokenAnswer answer = allocator.handle(request, nowMs);
 * </pre>
 */
public final class TokenAllocator {

    /** The time for which a grant is valid, in milliseconds. */
    public static final long GRANT_LENGTH_MS = 1_000;

    private static final double MS_PER_SECOND = 1_000;
    private static final long PREFETCH_DIVISOR = 4;
    private static final long MAX_WAIT_MS = 60_000;

    private final long epoch;
    private final Map<Long, OutstandingGrant> grants = new LinkedHashMap<>();
    private RateShare share;
    private double level;
    private long outstanding;
    private long filledAtMs;
    private long nextGrant = 1;

    /**
     * Creates an allocator whose bucket is filled from the given time on.
     *
     * @param share the share that is granted, not {@code null}
     * @param epoch the epoch of the lease under which the share is granted
     * @param level the tokens in the bucket at the start, at most the burst of the share
     * @param fillsFromMs when the last grant of an earlier epoch has expired, monotonic time in milliseconds
     */
    public TokenAllocator(RateShare share, long epoch, long level, long fillsFromMs) {
        this.share = share;
        this.level = level * RateShare.UNITS_PER_TOKEN;
        this.epoch = epoch;
        this.filledAtMs = fillsFromMs;
    }

    /**
     * Changes the share. Tokens in the bucket above the new burst are discarded; granted tokens stay valid until their
     * grants expire.
     *
     * @param newShare the share, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void configure(RateShare newShare, long nowMs) {
        if (newShare.equals(share)) {
            return;
        }
        expire(nowMs);
        share = newShare;
        level = Math.min(level, toCapacity());
    }

    /**
     * Settles earlier grants and grants tokens.
     *
     * @param request the request, not {@code null}
     * @param nowMs monotonic time when the request was received, in milliseconds
     * @return the answer
     */
    public TokenAnswer handle(TokenRequest request, long nowMs) {
        expire(nowMs);
        if (request.epoch() == epoch) {
            settle(request.settlements());
        }
        long available = (long) Math.floor(level);
        long prefetched = Math.min(request.wanted(), available / PREFETCH_DIVISOR);
        long tokens = Math.max(0, Math.min(available, Math.max(request.needed(), prefetched)));
        long grant = 0;
        if (tokens > 0) {
            grant = nextGrant++;
            grants.put(grant, new OutstandingGrant(tokens, nowMs + GRANT_LENGTH_MS));
            level -= tokens;
            outstanding += tokens;
        }
        return new TokenAnswer(request.number(), epoch, grant, tokens, GRANT_LENGTH_MS, toWaitMs(nowMs));
    }

    private long toWaitMs(long nowMs) {
        if (level >= RateShare.UNITS_PER_TOKEN) {
            return 0;
        }
        if (share.ratePerSecond() <= 0 || share.burst() < 1) {
            return MAX_WAIT_MS;
        }
        double missing = 1 - level / RateShare.UNITS_PER_TOKEN;
        double fillMs = missing / share.ratePerSecond() * MS_PER_SECOND;
        long startMs = Math.max(0, filledAtMs - nowMs);
        return Math.min(MAX_WAIT_MS, startMs + (long) Math.ceil(fillMs));
    }

    private void settle(List<GrantSettlement> settlements) {
        for (GrantSettlement settlement : settlements) {
            OutstandingGrant grant = grants.get(settlement.grant());
            if (grant == null) {
                continue;
            }
            long returned = grant.settle(settlement);
            outstanding -= grant.drainSettled();
            level = Math.min(level + returned, toCapacity());
            if (grant.unspent == 0) {
                grants.remove(settlement.grant());
            }
        }
    }

    /** Expires grants in order, filling the bucket up to each expiry in turn so that no capacity is filled early. */
    private void expire(long nowMs) {
        Iterator<OutstandingGrant> oldestFirst = grants.values().iterator();
        while (oldestFirst.hasNext()) {
            OutstandingGrant grant = oldestFirst.next();
            if (grant.endsAtMs > nowMs) {
                break;
            }
            fill(grant.endsAtMs);
            outstanding -= grant.unspent;
            oldestFirst.remove();
        }
        fill(nowMs);
    }

    private void fill(long nowMs) {
        if (nowMs <= filledAtMs) {
            return;
        }
        double filled = level + share.toUnits(nowMs - filledAtMs);
        level = Math.min(toCapacity(), filled);
        filledAtMs = nowMs;
    }

    private double toCapacity() {
        return Math.max(0, share.toBurstUnits() - outstanding);
    }

    /** A grant with tokens that the holder may still spend. */
    private static final class OutstandingGrant {

        private final long endsAtMs;
        private long unspent;
        private long spent;
        private long returned;
        private long settled;

        OutstandingGrant(long tokens, long endsAtMs) {
            this.unspent = tokens;
            this.endsAtMs = endsAtMs;
        }

        long settle(GrantSettlement settlement) {
            long moreSpent = Math.min(unspent, Math.max(0, settlement.spent() - spent));
            spent += moreSpent;
            unspent -= moreSpent;
            long moreReturned = Math.min(unspent, Math.max(0, settlement.returned() - returned));
            returned += moreReturned;
            unspent -= moreReturned;
            settled += moreSpent + moreReturned;
            return moreReturned;
        }

        long drainSettled() {
            long drained = settled;
            settled = 0;
            return drained;
        }
    }
}
