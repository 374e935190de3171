package io.cranberryarch.settings.serving;

/**
 * The rules for all upstreams of a service.
 *
 * @param name the name of the service
 * @param healthPath the path of the health check of its upstreams
 * @param maxConnections the maximum number of connections that one upstream accepts
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
