package io.cranberryarch.settings.serving;

import java.util.List;

/**
 * A rule for the requests of one host under a path prefix.
 *
 * @param name the name, unique in a version of the rules
 * @param host the host name in the request
 * @param prefix the path prefix, starting and ending with a slash
 * @param services the services that serve the requests, at least one, copied
 * @param isIdempotent whether a request may run more than once
 * @param isOpen whether callers need no key
 * @param timeoutMs the maximum time to wait for an answer, in milliseconds
 * @param objectiveMs the target latency, within which an answer is fully useful, in milliseconds
 * @param rank the importance, 0 for the most important
 * @param attemptLimit the maximum number of instances that may run one request; refusals by instances that did not run
 *     it do not count
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
     * Selects the service of a request in proportion to the weights.
     *
     * @param fraction a number from 0 inclusive to 1 exclusive, uniformly distributed over requests
     * @return the name of the service
     */
    public String pickService(double fraction) {
        int totalWeight = 0;
        for (WeightedService candidate : services) {
            totalWeight += candidate.weight();
        }
        double remaining = fraction * totalWeight;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
