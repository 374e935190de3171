package io.cranberryarch.decision.lease;

/**
 * Who holds a lease.
 *
 * @param instance the instance
 * @param incarnation the incarnation of its process
 * @param epoch the epoch of the lease
 */
public record LeaseHolder(String instance, long incarnation, long epoch) {}
