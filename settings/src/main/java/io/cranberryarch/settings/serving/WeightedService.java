package io.cranberryarch.settings.serving;

/**
 * One of the services that share the requests of a route.
 *
 * @param service the name of the service
 * @param weight its part of the requests, relative to the weights of the others
 */
public record WeightedService(String service, int weight) {}
