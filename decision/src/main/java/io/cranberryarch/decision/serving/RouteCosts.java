package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Learns what the requests of each route ask of each service, over their whole call trees. Not thread-safe.
 *
 * <pre>
 * costs.record("orders", Map.of("stock", 120.0));
 * costs.get("orders").getOrDefault("stock", 0.0);
 * </pre>
 */
public final class RouteCosts {

    private static final double NEWEST_WEIGHT = 0.05;

    /** A service that gets less than this from a request, in milliseconds of a slot, does not count as used. */
    private static final double NEGLIGIBLE_MS = 1;

    private final Map<String, Map<String, Double>> byRoute = new HashMap<>();

    /**
     * Notes what one request used.
     *
     * @param route the name of its route
     * @param usedMs milliseconds of slots by service
     */
    public void record(String route, Map<String, Double> usedMs) {
        Map<String, Double> known = byRoute.get(route);
        if (known == null) {
            byRoute.put(route, new HashMap<>(usedMs));
            return;
        }
        known.replaceAll((service, ms) -> ms + NEWEST_WEIGHT * (usedMs.getOrDefault(service, 0.0) - ms));
        usedMs.forEach((service, ms) -> known.putIfAbsent(service, ms * NEWEST_WEIGHT));
        known.values().removeIf(ms -> ms < NEGLIGIBLE_MS / 10);
    }

    /**
     * Gets what a request of a route uses on average.
     *
     * @param route the name of the route
     * @return milliseconds of slots by service, empty if nothing is known
     */
    public Map<String, Double> get(String route) {
        return byRoute.getOrDefault(route, Map.of());
    }

    /**
     * Tells whether requests of a route need a service.
     *
     * @param route the name of the route
     * @param service the name of the service
     * @return whether they use its slots
     */
    public boolean isUsed(String route, String service) {
        return get(route).getOrDefault(service, 0.0) >= NEGLIGIBLE_MS;
    }

    /**
     * Forgets routes that no longer exist.
     *
     * @param routes the names of the routes that exist
     */
    public void retain(Set<String> routes) {
        byRoute.keySet().retainAll(routes);
    }
}
