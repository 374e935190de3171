package io.cranberryarch.base;

import java.util.concurrent.TimeUnit;

/** The clock of the operating system. */
enum SystemClock implements Clock {
    /** The only instance. */
    INSTANCE;

    @Override
    public long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }
}
