package io.cranberryarch.decision.rate;

/** A grant as tracked by its holder. Not thread-safe. */
final class HeldGrant {

    private final long epoch;
    private final long number;
    private final long grantedAtMs;
    private final long endsAtMs;
    private long remaining;
    private long spent;
    private long returned;
    private boolean isReported = true;

    HeldGrant(long epoch, long number, long tokens, long grantedAtMs, long endsAtMs) {
        this.epoch = epoch;
        this.number = number;
        this.remaining = tokens;
        this.grantedAtMs = grantedAtMs;
        this.endsAtMs = endsAtMs;
    }

    boolean isEnded(long nowMs) {
        return nowMs >= endsAtMs;
    }

    long getRemaining(long nowMs) {
        return isEnded(nowMs) ? 0 : remaining;
    }

    long getAgeMs(long nowMs) {
        return nowMs - grantedAtMs;
    }

    /** Grant numbers are unique only within an epoch, so a grant is reported only to the allocator of its own epoch. */
    boolean isReportDue(long currentEpoch) {
        return epoch == currentEpoch && !isReported;
    }

    /** Spends up to the given number of tokens and returns the number spent. */
    long spend(long tokens, long nowMs) {
        long used = Math.min(tokens, getRemaining(nowMs));
        if (used > 0) {
            remaining -= used;
            spent += used;
            isReported = false;
        }
        return used;
    }

    /** Returns up to the given number of tokens to the allocator; they can no longer be spent here. */
    long returnTokens(long tokens, long nowMs) {
        long returnedNow = Math.min(tokens, getRemaining(nowMs));
        if (returnedNow > 0) {
            remaining -= returnedNow;
            returned += returnedNow;
            isReported = false;
        }
        return returnedNow;
    }

    GrantSettlement report() {
        isReported = true;
        return new GrantSettlement(number, spent, returned);
    }
}
