package io.cranberryarch.decision.lease;

/**
 * A write that a contender wants to make.
 *
 * @param name the lease
 * @param requiredVersion the version that the row must have, 0 if it must not exist
 * @param record the new content
 * @param sentAtMs when the write was decided, monotonic time in milliseconds; the lease runs from here
 */
public record LeaseWrite(String name, long requiredVersion, LeaseRecord record, long sentAtMs) {}
