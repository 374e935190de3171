package io.cranberryarch.decision.lease;

/**
 * The holder of a lease.
 *
 * @param instance the instance
 * @param incarnation the incarnation of its process
 * @param epoch the epoch of the lease
 */
public record LeaseHolder(String instance, long incarnation, long epoch) {}
