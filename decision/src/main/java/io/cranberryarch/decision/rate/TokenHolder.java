package io.cranberryarch.decision.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds tokens of one client account at one node, asks for more by demand, and gives back what it does not need.
 *
 * <p>A call in need asks the node's own zone first, and the other zones if that has none left. An account with a steady
 * demand keeps tokens for the next moments; one with few calls keeps none. Not thread-safe.
 *
 * <pre>
 * TokenHolder holder = new TokenHolder("acme", List.of("zone-a", "zone-b"), incarnation);
 * boolean admitted = holder.trySpend(nowMs);
 * List&lt;TokenRequest&gt; requests = holder.request(waiting, nowMs);
 * </pre>
 */
public final class TokenHolder {

    private static final double MS_PER_SECOND = 1_000;
    private static final double DEMAND_MEMORY_MS = 500;
    private static final double PREFETCH_MS = 150;
    private static final double STOCK_LIMIT_RATIO = 2;
    private static final long RETURN_AGE_MS = 100;
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
     * @param zones the zones whose allocators are asked, the own one first, not empty
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
     * Notes that a call arrived, for the forecast of demand.
     *
     * @param nowMs monotonic time in milliseconds
     */
    public void onCall(long nowMs) {
        demandPerSecond = toDemand(nowMs) + MS_PER_SECOND / DEMAND_MEMORY_MS;
        demandAtMs = nowMs;
    }

    /**
     * Spends a token.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether there was one
     */
    public boolean trySpend(long nowMs) {
        if (countTokens(nowMs) < RateShare.UNITS_PER_TOKEN) {
            return false;
        }
        long left = RateShare.UNITS_PER_TOKEN;
        for (TokenSource source : sources) {
            left -= source.spend(left, nowMs);
        }
        return true;
    }

    /**
     * Gets the requests to send now.
     *
     * @param waiting calls that wait for a token
     * @param nowMs monotonic time in milliseconds
     * @return the requests, empty if none is needed or all that can be asked are asked
     */
    public List<TokenRequest> request(long waiting, long nowMs) {
        long target = toTarget(nowMs);
        long stock = countTokens(nowMs);
        long needed = Math.max(0, waiting * RateShare.UNITS_PER_TOKEN - stock);
        long wanted = needed + (2 * stock < target ? target - stock : 0);
        List<TokenRequest> requests = new ArrayList<>();
        if (wanted < 1) {
            return requests;
        }
        TokenSource own = sources.get(0);
        if (isUseful(own, waiting, nowMs)) {
            requests.add(ask(own, needed, wanted, nowMs));
        }
        if (own.isAnswerLikely(nowMs) && !own.isSlow(nowMs)) {
            return requests;
        }
        int room = (waiting > 0 ? FAN_OUT : 1) - countInFlight(nowMs);
        for (int i = 1; i < sources.size() && room > 0; i++) {
            TokenSource source = sources.get(nextSource);
            nextSource = nextSource + 1 < sources.size() ? nextSource + 1 : 1;
            if (isUseful(source, waiting, nowMs)) {
                requests.add(ask(source, needed, wanted, nowMs));
                room--;
            }
        }
        return requests;
    }

    /**
     * Gets the settlements to send now. Call it every few tens of milliseconds; they need no answer.
     *
     * @param nowMs monotonic time in milliseconds
     * @return requests that only settle
     */
    public List<TokenRequest> settle(long nowMs) {
        List<TokenRequest> settlements = new ArrayList<>();
        if (nowMs - settledAtMs < SETTLE_INTERVAL_MS) {
            return settlements;
        }
        settledAtMs = nowMs;
        long surplus = countTokens(nowMs) - (long) Math.ceil(STOCK_LIMIT_RATIO * toTarget(nowMs));
        for (int i = sources.size() - 1; i >= 0; i--) {
            TokenSource source = sources.get(i);
            if (surplus > 0) {
                surplus -= source.giveBack(surplus, RETURN_AGE_MS, nowMs);
            }
            if (source.isReportDue()) {
                settlements.add(source.settle(account, nowMs));
            }
        }
        return settlements;
    }

    /**
     * Takes an answer. Answers to anything but the last request to a zone change nothing.
     *
     * @param zone the zone whose allocator answered
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
     * Notes that a request will not be answered.
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
     * Checks whether any zone's allocator answers.
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
     * Checks whether waiting is of use.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether an answer is likely to come, or a request can be sent
     */
    public boolean isWaitUseful(long nowMs) {
        for (TokenSource source : sources) {
            if (source.isAnswerLikely(nowMs) || source.isAskable(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Computes when a refused caller should come back.
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
     * Checks whether the holder can be dropped.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether it has neither tokens nor demand
     */
    public boolean isIdle(long nowMs) {
        return toDemand(nowMs) < 1 && countTokens(nowMs) == 0 && countInFlight(nowMs) == 0;
    }

    private static boolean isUseful(TokenSource source, long waiting, long nowMs) {
        return waiting > 0 ? source.isAskable(nowMs) : source.isPrefetchable(nowMs);
    }

    private TokenRequest ask(TokenSource source, long needed, long wanted, long nowMs) {
        return source.ask(account, nextNumber++, needed, wanted, nowMs);
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

    private long toTarget(long nowMs) {
        return (long) Math.floor(toDemand(nowMs) * PREFETCH_MS / MS_PER_SECOND) * RateShare.UNITS_PER_TOKEN;
    }

    private double toDemand(long nowMs) {
        return demandPerSecond * Math.exp(-Math.max(0, nowMs - demandAtMs) / DEMAND_MEMORY_MS);
    }
}
