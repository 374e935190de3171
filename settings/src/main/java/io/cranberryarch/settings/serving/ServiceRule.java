package io.cranberryarch.settings.serving;

/**
 * What is set for all upstreams of a service.
 *
 * @param name the name of the service
 * @param healthPath the path of their health check
 * @param maxConnections the most connections that one upstream accepts
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
