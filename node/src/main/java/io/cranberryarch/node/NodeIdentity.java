package io.cranberryarch.node;

/**
 * Identity of this process in the fleet.
 *
 * @param instance the name of the instance
 * @param incarnation the number of this process, greater than that of any earlier process on the instance
 * @param zone the availability zone
 * @param service the service of the upstream
 */
public record NodeIdentity(String instance, long incarnation, String zone, String service) {}
