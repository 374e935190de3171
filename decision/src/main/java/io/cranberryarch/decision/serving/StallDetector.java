package io.cranberryarch.decision.serving;

import java.util.Optional;

/**
 * Detects that a process did not run for some time, because it was stopped or got no processor, from the gaps between
 * calls that a running process makes at short intervals. What the process learned before a stall may be outdated, and
 * messages that arrived meanwhile are still unread. Not thread-safe.
 */
public final class StallDetector {

    /** The maximum interval between two calls while the process runs. */
    public static final long CHECK_INTERVAL_MS = 250;

    /** The shortest delay of a call that counts as a stall, well below the bound on applying new rules. */
    private static final long MIN_STALL_MS = 500;

    private long lastTurnAtMs;

    /**
     * Creates a detector.
     *
     * @param nowMs the time in monotonic milliseconds
     */
    public StallDetector(long nowMs) {
        lastTurnAtMs = nowMs;
    }

    /**
     * Records that the process is running.
     *
     * @param nowMs the time in monotonic milliseconds
     * @return the time since the previous call in milliseconds if the process stalled in between, else empty
     */
    public Optional<Long> onTurn(long nowMs) {
        long gapMs = nowMs - lastTurnAtMs;
        lastTurnAtMs = nowMs;
        return gapMs >= CHECK_INTERVAL_MS + MIN_STALL_MS ? Optional.of(gapMs) : Optional.empty();
    }
}
