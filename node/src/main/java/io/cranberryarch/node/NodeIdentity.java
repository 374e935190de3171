package io.cranberryarch.node;

/**
 * Who this process is.
 *
 * @param instance the name of the instance
 * @param incarnation greater after each start of a process on the instance
 * @param zone the availability zone
 * @param service the service of the upstream
 */
public record NodeIdentity(String instance, long incarnation, String zone, String service) {}
