package io.cranberryarch.decision.rate;

/** A grant at its holder. Not thread-safe. */
final class HeldGrant {

    private final long epoch;
    private final long number;
    private final long grantedAtMs;
    private final long endsAtMs;
    private long left;
    private long spent;
    private long returned;
    private boolean isReported = true;

    HeldGrant(long epoch, long number, long tokens, long grantedAtMs, long endsAtMs) {
        this.epoch = epoch;
        this.number = number;
        this.left = tokens;
        this.grantedAtMs = grantedAtMs;
        this.endsAtMs = endsAtMs;
    }

    boolean isEnded(long nowMs) {
        return nowMs >= endsAtMs;
    }

    long getLeft(long nowMs) {
        return isEnded(nowMs) ? 0 : left;
    }

    long getAgeMs(long nowMs) {
        return nowMs - grantedAtMs;
    }

    /** Numbers of grants are unique within an epoch only, so a grant is reported to the allocator of its own epoch. */
    boolean isReportDue(long currentEpoch) {
        return epoch == currentEpoch && !isReported;
    }

    /** Spends at most so many tokens and tells how many. */
    long spend(long tokens, long nowMs) {
        long taken = Math.min(tokens, getLeft(nowMs));
        if (taken > 0) {
            left -= taken;
            spent += taken;
            isReported = false;
        }
        return taken;
    }

    /** Gives tokens back, which are then no longer there to spend. */
    long giveBack(long tokens, long nowMs) {
        long given = Math.min(tokens, getLeft(nowMs));
        if (given > 0) {
            left -= given;
            returned += given;
            isReported = false;
        }
        return given;
    }

    GrantSettlement report() {
        isReported = true;
        return new GrantSettlement(number, spent, returned);
    }
}
