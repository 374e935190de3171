package io.cranberryarch.decision.lease;

/**
 * A process that contends for leases.
 *
 * @param instance the instance
 * @param incarnation the incarnation of the process
 * @param address the address that the process has bound
 */
public record LeaseContender(String instance, long incarnation, String address) {}
