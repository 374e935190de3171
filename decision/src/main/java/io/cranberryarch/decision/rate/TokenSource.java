package io.cranberryarch.decision.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What a holder knows of the allocator of one zone, and the grants it holds from it. Not thread-safe. */
final class TokenSource {

    private static final long SLOW_ANSWER_MS = 50;
    private static final long REQUEST_TIMEOUT_MS = 400;
    private static final long FAILURE_BACKOFF_MS = 200;
    private static final int MAX_FAILURE_DOUBLINGS = 5;
    private static final long DRY_BACKOFF_MS = 5;
    private static final int MAX_DRY_DOUBLINGS = 5;
    private static final long MAX_DRY_BACKOFF_MS = 200;
    private static final long PREFETCH_INTERVAL_MS = 20;

    private final String zone;
    private final Deque<HeldGrant> grants = new ArrayDeque<>();
    private long epoch;
    private long requestNumber;
    private long sentAtMs = Long.MIN_VALUE / 2;
    private long fillsAtMs;
    private int failures;
    private int dryAnswers;
    private boolean isInFlight;
    private boolean isAnswered = true;
    private long askAgainAtMs = Long.MIN_VALUE;

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

    /** Checks whether an answer is awaited that may come soon. */
    boolean isAnswerLikely(long nowMs) {
        return isInFlight(nowMs) && !isFailing();
    }

    /** Checks whether an answer is awaited that should have come by now. */
    boolean isSlow(long nowMs) {
        return isInFlight(nowMs) && nowMs - sentAtMs >= SLOW_ANSWER_MS;
    }

    boolean isAskable(long nowMs) {
        return !isInFlight(nowMs) && nowMs >= askAgainAtMs;
    }

    /** Checks whether tokens may be asked for ahead of need. */
    boolean isPrefetchable(long nowMs) {
        return isAskable(nowMs) && nowMs - sentAtMs >= PREFETCH_INTERVAL_MS;
    }

    /** Checks whether the last request failed. */
    boolean isFailing() {
        return failures > 0;
    }

    /** Gets when the allocator expects to have a token. */
    long getFillsAtMs() {
        return Math.max(fillsAtMs, askAgainAtMs);
    }

    TokenRequest ask(String account, long number, long needed, long wanted, long nowMs) {
        requestNumber = number;
        sentAtMs = nowMs;
        isInFlight = true;
        isAnswered = false;
        return new TokenRequest(zone, account, number, needed, wanted, epoch, report(nowMs));
    }

    /** Takes the answer to the last request, once. The grant ends by the time of sending, not of the answer. */
    void onAnswer(TokenAnswer answer, long nowMs) {
        if (answer.number() != requestNumber || isAnswered) {
            return;
        }
        isAnswered = true;
        isInFlight = false;
        failures = 0;
        fillsAtMs = nowMs + answer.waitMs();
        dryAnswers = answer.tokens() > 0 ? 0 : dryAnswers + 1;
        askAgainAtMs = nowMs + toBackoffMs(answer);
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
        askAgainAtMs = nowMs + (FAILURE_BACKOFF_MS << Math.min(failures, MAX_FAILURE_DOUBLINGS));
        failures++;
    }

    /** Spends at most so many tokens and tells how many. */
    long spend(long tokens, long nowMs) {
        long taken = 0;
        for (HeldGrant grant : grants) {
            taken += grant.spend(tokens - taken, nowMs);
        }
        return taken;
    }

    long countTokens(long nowMs) {
        long count = 0;
        for (HeldGrant grant : grants) {
            count += grant.getLeft(nowMs);
        }
        return count;
    }

    /** Gives back at most so many tokens of grants of at least the given age. */
    long giveBack(long tokens, long minAgeMs, long nowMs) {
        long given = 0;
        for (HeldGrant grant : grants) {
            if (grant.getAgeMs(nowMs) >= minAgeMs) {
                given += grant.giveBack(tokens - given, nowMs);
            }
        }
        if (given > 0 && !isFailing()) {
            askAgainAtMs = nowMs;
        }
        return given;
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
        long backoffMs =
                dryAnswers == 0 || answer.waitMs() == 0 ? 0 : DRY_BACKOFF_MS << Math.min(dryAnswers, MAX_DRY_DOUBLINGS);
        return Math.min(MAX_DRY_BACKOFF_MS, Math.max(answer.waitMs(), backoffMs));
    }

    private List<GrantSettlement> report(long nowMs) {
        List<GrantSettlement> settlements = new ArrayList<>();
        for (HeldGrant grant : grants) {
            if (grant.isReportDue(epoch)) {
                settlements.add(grant.report());
            }
        }
        grants.removeIf(grant -> grant.getLeft(nowMs) < 1);
        return settlements;
    }
}
