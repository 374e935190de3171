package io.cranberryarch.mesh;

import io.cranberryarch.settings.serving.ServingRoute;
import java.util.HashMap;
import java.util.Map;

/** Distributes the requests of a route among its services in proportion to their weights. */
final class WeightedServiceSelector {

    /** The fractional part of the golden ratio: its multiples modulo 1 are spread evenly whatever their number. */
    private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

    private final Map<String, Long> countsByRoute = new HashMap<>();

    /**
     * Selects the service for the next request of a route.
     *
     * @param route the route
     * @return the name of the service
     */
    String pick(ServingRoute route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        long count = countsByRoute.merge(route.name(), 1L, Long::sum);
        return route.pickService((count * GOLDEN_RATIO) % 1.0);
    }
}
