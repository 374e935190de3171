package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the cost of the requests of each route at each service, over their whole call trees. Not thread-safe.
 *
 * <pre>
 * costs.record("orders", Map.of("stock", 120.0));
 * costs.get("orders").getOrDefault("stock", 0.0);
 * </pre>
 */
public final class RouteCosts {

    private static final double NEWEST_WEIGHT = 0.05;

    /** The cost of a request at a service, in slot milliseconds, below which the service does not count as used. */
    private static final double MIN_USED_MS = 1;

    private final Map<String, Map<String, Double>> byRoute = new HashMap<>();

    /**
     * Records the cost of one request.
     *
     * @param route the name of its route
     * @param costMs the slot milliseconds by service
     */
    public void record(String route, Map<String, Double> costMs) {
        Map<String, Double> averages = byRoute.get(route);
        if (averages == null) {
            byRoute.put(route, new HashMap<>(costMs));
            return;
        }
        averages.replaceAll((service, ms) -> ms + NEWEST_WEIGHT * (costMs.getOrDefault(service, 0.0) - ms));
        costMs.forEach((service, ms) -> averages.putIfAbsent(service, ms * NEWEST_WEIGHT));
        averages.values().removeIf(ms -> ms < MIN_USED_MS / 10);
    }

    /**
     * Returns the average cost of a request of a route.
     *
     * @param route the name of the route
     * @return the slot milliseconds by service, empty if no request is recorded
     */
    public Map<String, Double> get(String route) {
        return byRoute.getOrDefault(route, Map.of());
    }

    /**
     * Returns whether requests of a route use a service.
     *
     * @param route the name of the route
     * @param service the name of the service
     * @return whether their average cost at the service reaches the minimum
     */
    public boolean isUsed(String route, String service) {
        return get(route).getOrDefault(service, 0.0) >= MIN_USED_MS;
    }

    /**
     * Removes routes that no longer exist.
     *
     * @param routes the names of the routes that exist
     */
    public void retain(Set<String> routes) {
        byRoute.keySet().retainAll(routes);
    }
}
