package io.cranberryarch.base;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only on request, for tests and simulations.
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
     * @param startMs the initial time in milliseconds
     */
    public ManualClock(long startMs) {
        this.nowMs = new AtomicLong(startMs);
    }

    /**
     * Advances the clock.
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
