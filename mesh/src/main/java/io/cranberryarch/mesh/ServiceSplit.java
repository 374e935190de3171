package io.cranberryarch.mesh;

import io.cranberryarch.settings.serving.ServingRoute;
import java.util.HashMap;
import java.util.Map;

/** Distributes the requests of a route among its services in the proportions of their weights. */
final class ServiceSplit {

    /** The golden ratio: multiples of it, modulo one, are spread evenly whatever their number. */
    private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

    private final Map<String, Long> counts = new HashMap<>();

    /**
     * Picks the service of the next request.
     *
     * @param route the route
     * @return the name of the service
     */
    String pick(ServingRoute route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        long count = counts.merge(route.name(), 1L, Long::sum);
        return route.pickService((count * GOLDEN_RATIO) % 1.0);
    }
}
