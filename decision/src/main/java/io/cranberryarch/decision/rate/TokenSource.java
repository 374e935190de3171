package io.cranberryarch.decision.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The state of a holder towards the allocator of one zone, with the grants received from it. Not thread-safe. */
final class TokenSource {

    private static final long SLOW_ANSWER_THRESHOLD_MS = 50;
    private static final long REQUEST_TIMEOUT_MS = 400;
    private static final long MIN_FAILURE_BACKOFF_MS = 200;
    private static final int MAX_FAILURE_DOUBLINGS = 5;
    private static final long EMPTY_ANSWER_BACKOFF_BASE_MS = 5;
    private static final int MAX_EMPTY_ANSWER_DOUBLINGS = 5;
    private static final long MAX_EMPTY_ANSWER_BACKOFF_MS = 200;
    private static final long MIN_PREFETCH_INTERVAL_MS = 20;

    private final String zone;
    private final Deque<HeldGrant> grants = new ArrayDeque<>();
    private long epoch;
    private long requestNumber;
    private long sentAtMs = Long.MIN_VALUE / 2;
    private long fillsAtMs;
    private int failures;
    private int emptyAnswers;
    private boolean isInFlight;
    private boolean isAnswered = true;
    private long nextRequestAtMs = Long.MIN_VALUE;

    TokenSource(String zone) {
        this.zone = zone;
    }

    boolean isZone(String name) {
        return zone.equals(name);
    }

    boolean isInFlight(long nowMs) {
        if (isInFlight && nowMs - sentAtMs > REQUEST_TIMEOUT_MS) {
            fail(requestNumber, nowMs);
        }
        return isInFlight;
    }

    /** Checks whether a request is in flight and likely to be answered, as the preceding one did not fail. */
    boolean isAnswerExpected(long nowMs) {
        return isInFlight(nowMs) && !isFailing();
    }

    /** Checks whether the request in flight should have been answered by now. */
    boolean isSlow(long nowMs) {
        return isInFlight(nowMs) && nowMs - sentAtMs >= SLOW_ANSWER_THRESHOLD_MS;
    }

    boolean isRequestAllowed(long nowMs) {
        return !isInFlight(nowMs) && nowMs >= nextRequestAtMs;
    }

    /** Checks whether tokens may be requested in advance of demand. */
    boolean isPrefetchAllowed(long nowMs) {
        return isRequestAllowed(nowMs) && nowMs - sentAtMs >= MIN_PREFETCH_INTERVAL_MS;
    }

    /** Checks whether the last request failed. */
    boolean isFailing() {
        return failures > 0;
    }

    /** Returns when the allocator expects to have a token and may be asked again. */
    long getFillsAtMs() {
        return Math.max(fillsAtMs, nextRequestAtMs);
    }

    TokenRequest createRequest(String account, long number, long needed, long wanted, long nowMs) {
        requestNumber = number;
        sentAtMs = nowMs;
        isInFlight = true;
        isAnswered = false;
        return new TokenRequest(zone, account, number, needed, wanted, epoch, report(nowMs));
    }

    /** Processes the first answer to the last request. The grant expires relative to the sending of the request. */
    void onAnswer(TokenAnswer answer, long nowMs) {
        if (answer.number() != requestNumber || isAnswered) {
            return;
        }
        isAnswered = true;
        isInFlight = false;
        failures = 0;
        fillsAtMs = nowMs + answer.waitMs();
        emptyAnswers = answer.tokens() > 0 ? 0 : emptyAnswers + 1;
        nextRequestAtMs = nowMs + toBackoffMs(answer);
        epoch = answer.epoch();
        grants.removeIf(grant -> grant.isEnded(nowMs));
        if (answer.tokens() > 0) {
            grants.add(new HeldGrant(epoch, answer.grant(), answer.tokens(), nowMs, sentAtMs + answer.lengthMs()));
        }
    }

    void fail(long number, long nowMs) {
        if (number != requestNumber || !isInFlight) {
            return;
        }
        isInFlight = false;
        nextRequestAtMs = nowMs + (MIN_FAILURE_BACKOFF_MS << Math.min(failures, MAX_FAILURE_DOUBLINGS));
        failures++;
    }

    /** Spends up to the given number of tokens and returns the number spent. */
    long spend(long tokens, long nowMs) {
        long used = 0;
        for (HeldGrant grant : grants) {
            used += grant.spend(tokens - used, nowMs);
        }
        return used;
    }

    long countTokens(long nowMs) {
        long count = 0;
        for (HeldGrant grant : grants) {
            count += grant.getRemaining(nowMs);
        }
        return count;
    }

    /** Returns up to the given number of tokens to the allocator, from grants of at least the given age. */
    long returnTokens(long tokens, long minAgeMs, long nowMs) {
        long returned = 0;
        for (HeldGrant grant : grants) {
            if (grant.getAgeMs(nowMs) >= minAgeMs) {
                returned += grant.returnTokens(tokens - returned, nowMs);
            }
        }
        if (returned > 0 && !isFailing()) {
            nextRequestAtMs = nowMs;
        }
        return returned;
    }

    boolean isReportDue() {
        for (HeldGrant grant : grants) {
            if (grant.isReportDue(epoch)) {
                return true;
            }
        }
        return false;
    }

    TokenRequest settle(String account, long nowMs) {
        return new TokenRequest(zone, account, 0, 0, 0, epoch, report(nowMs));
    }

    private long toBackoffMs(TokenAnswer answer) {
        long backoffMs = emptyAnswers == 0 || answer.waitMs() == 0
                ? 0
                : EMPTY_ANSWER_BACKOFF_BASE_MS << Math.min(emptyAnswers, MAX_EMPTY_ANSWER_DOUBLINGS);
        return Math.min(MAX_EMPTY_ANSWER_BACKOFF_MS, Math.max(answer.waitMs(), backoffMs));
    }

    private List<GrantSettlement> report(long nowMs) {
        List<GrantSettlement> settlements = new ArrayList<>();
        for (HeldGrant grant : grants) {
            if (grant.isReportDue(epoch)) {
                settlements.add(grant.report());
            }
        }
        grants.removeIf(grant -> grant.getRemaining(nowMs) < 1);
        return settlements;
    }
}
