package io.cranberryarch.decision.lease;

/**
 * A write of a lease row that a contender is to commit.
 *
 * @param name the name of the lease
 * @param requiredVersion the version that the row must have, 0 if it must not exist
 * @param record the new content
 * @param sentAtMs when the write was created, monotonic time in milliseconds; the lease is measured from this time
 */
public record LeaseWrite(String name, long requiredVersion, LeaseRecord record, long sentAtMs) {}
