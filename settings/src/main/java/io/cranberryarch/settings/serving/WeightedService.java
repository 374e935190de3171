package io.cranberryarch.settings.serving;

/**
 * One of the services over which the requests of a route are distributed.
 *
 * @param service the name of the service
 * @param weight the weight of the service, relative to the weights of the others
 */
public record WeightedService(String service, int weight) {}
