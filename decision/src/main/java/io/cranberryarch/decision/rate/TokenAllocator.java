package io.cranberryarch.decision.rate;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants the tokens of one client account's share to holders, for a short time each.
 *
 * <p>Tokens in the bucket and tokens granted but perhaps unspent together never exceed the burst. So over any span of
 * {@code t} seconds all holders together spend at most {@code rate * t + burst}, whatever happens to messages.
 * Not thread-safe.
 *
 * <pre>
 * TokenAllocator allocator = new TokenAllocator(share, epoch, nowMs);
 * TokenAnswer answer = allocator.handle(request, nowMs);
 * </pre>
 */
public final class TokenAllocator {

    /** The length of a grant in milliseconds. */
    public static final long GRANT_LENGTH_MS = 1_000;

    private static final double MS_PER_SECOND = 1_000;
    private static final long PREFETCH_DIVISOR = 4;
    private static final long MAX_WAIT_MS = 60_000;

    private final long epoch;
    private final Map<Long, Outstanding> grants = new LinkedHashMap<>();
    private RateShare share;
    private double level;
    private long outstanding;
    private long filledAtMs;
    private long nextGrant = 1;

    /**
     * Creates an allocator whose bucket fills from the given time on.
     *
     * @param share the share that is granted, not {@code null}
     * @param epoch the epoch of the lease under which the share is granted
     * @param level the tokens in the bucket at the start, at most the burst of the share
     * @param fillsFromMs when the last grant of an earlier epoch has ended, monotonic time in milliseconds
     */
    public TokenAllocator(RateShare share, long epoch, long level, long fillsFromMs) {
        this.share = share;
        this.level = level * RateShare.UNITS_PER_TOKEN;
        this.epoch = epoch;
        this.filledAtMs = fillsFromMs;
    }

    /**
     * Changes the share. Tokens in the bucket above the new burst are lost; grants keep theirs until they end.
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
        level = Math.min(level, toRoom());
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
            grants.put(grant, new Outstanding(tokens, nowMs + GRANT_LENGTH_MS));
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
            Outstanding grant = grants.get(settlement.grant());
            if (grant == null) {
                continue;
            }
            long returned = grant.settle(settlement);
            outstanding -= grant.takeSettled();
            level = Math.min(level + returned, toRoom());
            if (grant.left == 0) {
                grants.remove(settlement.grant());
            }
        }
    }

    /** Ends the grants that are due, and fills the bucket up to each end in turn, so that none is filled too early. */
    private void expire(long nowMs) {
        Iterator<Outstanding> oldestFirst = grants.values().iterator();
        while (oldestFirst.hasNext()) {
            Outstanding grant = oldestFirst.next();
            if (grant.endsAtMs > nowMs) {
                break;
            }
            fill(grant.endsAtMs);
            outstanding -= grant.left;
            oldestFirst.remove();
        }
        fill(nowMs);
    }

    private void fill(long nowMs) {
        if (nowMs <= filledAtMs) {
            return;
        }
        double filled = level + share.toUnits(nowMs - filledAtMs);
        level = Math.min(toRoom(), filled);
        filledAtMs = nowMs;
    }

    private double toRoom() {
        return Math.max(0, share.toBurstUnits() - outstanding);
    }

    /** A grant whose tokens may be unspent. */
    private static final class Outstanding {

        private final long endsAtMs;
        private long left;
        private long spent;
        private long returned;
        private long settled;

        Outstanding(long tokens, long endsAtMs) {
            this.left = tokens;
            this.endsAtMs = endsAtMs;
        }

        long settle(GrantSettlement settlement) {
            long moreSpent = Math.min(left, Math.max(0, settlement.spent() - spent));
            spent += moreSpent;
            left -= moreSpent;
            long moreReturned = Math.min(left, Math.max(0, settlement.returned() - returned));
            returned += moreReturned;
            left -= moreReturned;
            settled += moreSpent + moreReturned;
            return moreReturned;
        }

        long takeSettled() {
            long taken = settled;
            settled = 0;
            return taken;
        }
    }
}
