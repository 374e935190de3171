package io.cranberryarch.base;

/**
 * Provides the time in milliseconds.
 *
 * <p>Leases, timeouts and rates use {@link #monotonicMs()}, which never decreases. Values that leave the process, such
 * as the creation time of an idempotency key, use {@link #wallMs()}.
 *
 * <pre>
 * Clock clock = Clock.system();
 * long deadlineMs = clock.monotonicMs() + TIMEOUT_MS;
 * </pre>
 */
public interface Clock {

    /**
     * Returns the elapsed time since an arbitrary origin.
     *
     * @return milliseconds that never decrease within one process
     */
    long monotonicMs();

    /**
     * Returns the time of day.
     *
     * @return milliseconds since 1970-01-01T00:00Z
     */
    long wallMs();

    /**
     * Returns the clock of the operating system.
     *
     * @return the system clock, never {@code null}
     */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
