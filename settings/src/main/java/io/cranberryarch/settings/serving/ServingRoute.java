package io.cranberryarch.settings.serving;

import java.util.List;

/**
 * A rule for the requests of one host under a path prefix.
 *
 * @param name the name, unique in a version of the rules
 * @param host the host that a request names
 * @param prefix the path prefix, beginning and ending with a slash
 * @param services the services that serve it, at least one
 * @param isIdempotent whether a request may run more than once
 * @param isOpen whether callers need no key
 * @param timeoutMs the longest time to wait for an answer, in milliseconds
 * @param objectiveMs the time within which an answer is fully useful, in milliseconds
 * @param rank the importance, 0 for the most important
 * @param attemptLimit the most instances that one request may be sent to
 */
public record ServingRoute(
        String name,
        String host,
        String prefix,
        List<WeightedService> services,
        boolean isIdempotent,
        boolean isOpen,
        long timeoutMs,
        long objectiveMs,
        int rank,
        int attemptLimit) {

    /** Copies the list. */
    public ServingRoute {
        services = List.copyOf(services);
    }

    /**
     * Picks the service of a request in proportion to the weights.
     *
     * @param fraction a number from 0 to 1, 1 excluded, evenly distributed over requests
     * @return the name of the service
     */
    public String pickService(double fraction) {
        int total = 0;
        for (WeightedService part : services) {
            total += part.weight();
        }
        double left = fraction * total;
        for (WeightedService part : services) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
