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

    private final Map<String, Cost> byRoute = new HashMap<>();

    /**
     * Notes what one request used that was served. A request that failed may have stopped before its call tree reached
     * the deep services, and would make its route look cheap.
     *
     * @param route the name of its route
     * @param usedMs milliseconds of slots by service
     * @return whether nothing was known of the route before
     */
    public boolean record(String route, Map<String, Double> usedMs) {
        Cost cost = byRoute.get(route);
        if (cost == null) {
            byRoute.put(route, new Cost(usedMs));
            return true;
        }
        cost.add(usedMs);
        return false;
    }

    /**
     * Takes what another node knows of a route, unless something is known of it here.
     *
     * @param route the name of the route
     * @param usedMs milliseconds of slots by service
     */
    public void learn(String route, Map<String, Double> usedMs) {
        byRoute.computeIfAbsent(route, unused -> new Cost(usedMs));
    }

    /**
     * Tells whether nothing is known of any route.
     *
     * @return whether it is so
     */
    public boolean isEmpty() {
        return byRoute.isEmpty();
    }

    /**
     * Gets what is known, to tell other nodes.
     *
     * @return milliseconds of slots by route and service
     */
    public Map<String, Map<String, Double>> getAll() {
        Map<String, Map<String, Double>> all = new HashMap<>();
        byRoute.forEach((route, cost) -> all.put(route, Map.copyOf(cost.usedMs)));
        return all;
    }

    /**
     * Gets what a request of a route uses on average.
     *
     * @param route the name of the route
     * @return milliseconds of slots by service, empty if nothing is known
     */
    public Map<String, Double> get(String route) {
        Cost cost = byRoute.get(route);
        return cost == null ? Map.of() : cost.usedMs;
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

    /** An average over the requests of one route: even over the first ones, moving afterwards. */
    private static final class Cost {

        private final Map<String, Double> usedMs;
        private int count = 1;

        Cost(Map<String, Double> firstMs) {
            usedMs = new HashMap<>(firstMs);
        }

        void add(Map<String, Double> newestMs) {
            count++;
            double weight = Math.max(NEWEST_WEIGHT, 1.0 / count);
            usedMs.replaceAll((service, ms) -> ms + weight * (newestMs.getOrDefault(service, 0.0) - ms));
            newestMs.forEach((service, ms) -> usedMs.putIfAbsent(service, ms * weight));
            usedMs.values().removeIf(ms -> ms < NEGLIGIBLE_MS / 10);
        }
    }
}
