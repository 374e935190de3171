package io.cranberryarch.base;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when told to, for tests and experiments.
 *
 * <pre>
 * ManualClock clock = new ManualClock(1_000);
 * clock.advance(50);
 * clock.monotonicMs(); // 1050
 * </pre>
 */
public final class ManualClock implements Clock {

    private final AtomicLong nowMs;

    /**
     * Creates a clock.
     *
     * @param startMs the first reading, in milliseconds
     */
    public ManualClock(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    /**
     * Moves the clock forward.
     *
     * @param ms the milliseconds to add, not negative
     * @throws IllegalArgumentException if {@code ms} is negative
     */
    public void advance(long ms) {
        if (ms < 0) {
            throw new IllegalArgumentException("ms must not be negative: " + ms);
        }
        nowMs.addAndGet(ms);
    }

    @Override
    public long monotonicMs() {
        return nowMs.get();
    }

    @Override
    public long wallMs() {
        return nowMs.get();
    }
}
