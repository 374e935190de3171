package io.cranberryarch.decision.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds tokens of one client account at one node, requests more according to demand, and returns unneeded ones.
 *
 * <p>Tokens are requested from the node's own zone first, and from the other zones if that one is slow, failing or has
 * no tokens. Tokens are prefetched for accounts with steady demand, but not for accounts with few calls. Not
 * thread-safe.
 *
 * <pre>
 * TokenHolder holder = new TokenHolder("acme", List.of("zone-a", "zone-b"), incarnation);
 * boolean admitted = holder.trySpend(nowMs);
 * List&lt;TokenRequest&gt; requests = holder.request(waiting, nowMs);
 * </pre>
 */
public final class TokenHolder {

    private static final double MS_PER_SECOND = 1_000;
    private static final double DEMAND_TIME_CONSTANT_MS = 500;
    private static final double PREFETCH_HORIZON_MS = 150;
    private static final double MAX_HELD_TO_TARGET_RATIO = 2;
    private static final long MIN_RETURN_AGE_MS = 100;
    private static final long SETTLE_INTERVAL_MS = 50;
    private static final int FAN_OUT = 4;

    private final String account;
    private final List<TokenSource> sources = new ArrayList<>();
    private long nextNumber;
    private int nextSource = 1;
    private double demandPerSecond;
    private long demandAtMs;
    private long settledAtMs;

    /**
     * Creates a holder without tokens.
     *
     * @param account the name of the client account, not {@code null}
     * @param zones the zones whose allocators are asked, the own zone first, not empty
     * @param firstNumber the number of the first request, greater than those of earlier holders of this node
     */
    public TokenHolder(String account, List<String> zones, long firstNumber) {
        this.account = account;
        this.nextNumber = firstNumber;
        for (String zone : zones) {
            sources.add(new TokenSource(zone));
        }
    }

    /**
     * Records the arrival of a call for the demand estimate.
     *
     * @param nowMs monotonic time in milliseconds
     */
    public void onCall(long nowMs) {
        demandPerSecond = toDemand(nowMs) + MS_PER_SECOND / DEMAND_TIME_CONSTANT_MS;
        demandAtMs = nowMs;
    }

    /**
     * Spends a token if one is available.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether a token was spent
     */
    public boolean trySpend(long nowMs) {
        if (countTokens(nowMs) < RateShare.UNITS_PER_TOKEN) {
            return false;
        }
        long remaining = RateShare.UNITS_PER_TOKEN;
        for (TokenSource source : sources) {
            remaining -= source.spend(remaining, nowMs);
        }
        return true;
    }

    /**
     * Creates the token requests to send now.
     *
     * @param waiting the number of calls that wait for a token
     * @param nowMs monotonic time in milliseconds
     * @return the requests, empty if none is needed or no further zone can be asked
     */
    public List<TokenRequest> request(long waiting, long nowMs) {
        long target = toTargetTokens(nowMs);
        long available = countTokens(nowMs);
        long needed = Math.max(0, waiting * RateShare.UNITS_PER_TOKEN - available);
        long wanted = needed + (2 * available < target ? target - available : 0);
        List<TokenRequest> requests = new ArrayList<>();
        if (wanted < 1) {
            return requests;
        }
        TokenSource ownSource = sources.get(0);
        if (isRequestable(ownSource, waiting, nowMs)) {
            requests.add(createRequest(ownSource, needed, wanted, nowMs));
        }
        if (ownSource.isAnswerExpected(nowMs) && !ownSource.isSlow(nowMs)) {
            return requests;
        }
        int requestsLeft = (waiting > 0 ? FAN_OUT : 1) - countInFlight(nowMs);
        for (int i = 1; i < sources.size() && requestsLeft > 0; i++) {
            TokenSource source = sources.get(nextSource);
            nextSource = nextSource + 1 < sources.size() ? nextSource + 1 : 1;
            if (isRequestable(source, waiting, nowMs)) {
                requests.add(createRequest(source, needed, wanted, nowMs));
                requestsLeft--;
            }
        }
        return requests;
    }

    /**
     * Creates the settlements to send now. Should be called every few tens of milliseconds; settlements need no answer.
     *
     * @param nowMs monotonic time in milliseconds
     * @return requests that only settle grants, empty if none is due
     */
    public List<TokenRequest> settle(long nowMs) {
        List<TokenRequest> settlements = new ArrayList<>();
        if (nowMs - settledAtMs < SETTLE_INTERVAL_MS) {
            return settlements;
        }
        settledAtMs = nowMs;
        long surplus = countTokens(nowMs) - (long) Math.ceil(MAX_HELD_TO_TARGET_RATIO * toTargetTokens(nowMs));
        for (int i = sources.size() - 1; i >= 0; i--) {
            TokenSource source = sources.get(i);
            if (surplus > 0) {
                surplus -= source.returnTokens(surplus, MIN_RETURN_AGE_MS, nowMs);
            }
            if (source.isReportDue()) {
                settlements.add(source.settle(account, nowMs));
            }
        }
        return settlements;
    }

    /**
     * Processes an answer. Answers to any but the last request to a zone are ignored.
     *
     * @param zone the zone whose allocator answered, not {@code null}
     * @param answer the answer, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void onAnswer(String zone, TokenAnswer answer, long nowMs) {
        for (TokenSource source : sources) {
            if (source.isZone(zone)) {
                source.onAnswer(answer, nowMs);
            }
        }
    }

    /**
     * Records that a request will not be answered.
     *
     * @param request the request, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void onFailure(TokenRequest request, long nowMs) {
        for (TokenSource source : sources) {
            if (source.isZone(request.zone())) {
                source.fail(request.number(), nowMs);
            }
        }
    }

    /**
     * Checks whether the allocator of at least one zone is available.
     *
     * @return whether the last request to at least one zone did not fail
     */
    public boolean isAnyAllocatorAvailable() {
        for (TokenSource source : sources) {
            if (!source.isFailing()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks whether waiting for a token can succeed.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether an answer is expected or a request can be sent
     */
    public boolean isWaitUseful(long nowMs) {
        for (TokenSource source : sources) {
            if (source.isAnswerExpected(nowMs) || source.isRequestAllowed(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Computes when a refused caller should retry.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the wait in milliseconds, at least 1
     */
    public long toRetryAfterMs(long nowMs) {
        long soonestMs = Long.MAX_VALUE;
        for (TokenSource source : sources) {
            soonestMs = Math.min(soonestMs, Math.max(nowMs, source.getFillsAtMs()));
        }
        return Math.max(1, soonestMs - nowMs);
    }

    /**
     * Checks whether the holder can be discarded.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether it has no tokens, no demand and no request in flight
     */
    public boolean isIdle(long nowMs) {
        return toDemand(nowMs) < 1 && countTokens(nowMs) == 0 && countInFlight(nowMs) == 0;
    }

    private static boolean isRequestable(TokenSource source, long waiting, long nowMs) {
        return waiting > 0 ? source.isRequestAllowed(nowMs) : source.isPrefetchAllowed(nowMs);
    }

    private TokenRequest createRequest(TokenSource source, long needed, long wanted, long nowMs) {
        return source.createRequest(account, nextNumber++, needed, wanted, nowMs);
    }

    private int countInFlight(long nowMs) {
        int count = 0;
        for (TokenSource source : sources) {
            count += source.isInFlight(nowMs) ? 1 : 0;
        }
        return count;
    }

    private long countTokens(long nowMs) {
        long count = 0;
        for (TokenSource source : sources) {
            count += source.countTokens(nowMs);
        }
        return count;
    }

    private long toTargetTokens(long nowMs) {
        return (long) Math.floor(toDemand(nowMs) * PREFETCH_HORIZON_MS / MS_PER_SECOND) * RateShare.UNITS_PER_TOKEN;
    }

    private double toDemand(long nowMs) {
        return demandPerSecond * Math.exp(-Math.max(0, nowMs - demandAtMs) / DEMAND_TIME_CONSTANT_MS);
    }
}
