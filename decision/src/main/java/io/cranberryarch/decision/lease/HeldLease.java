package io.cranberryarch.decision.lease;

/**
 * A lease that this process holds.
 *
 * @param name the name
 * @param epoch the epoch, incremented by one with each change of holders
 * @param acquiredAtMs when this process acquired it, monotonic time in milliseconds
 * @param endsAtMs when it ends unless it is renewed, monotonic time in milliseconds
 * @param origin how this process obtained it
 */
public record HeldLease(String name, long epoch, long acquiredAtMs, long endsAtMs, LeaseOrigin origin) {}
