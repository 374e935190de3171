package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.LoadShedding;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.ServingRules;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The load of services as this node sees it, and the refusals that follow from it at the entry. */
final class ServiceLoads {

    /** The time over which the load of a service is averaged, as call trees reach deep services with a delay. */
    private static final double AVERAGE_MS = 250;

    private final EventLoop loop;
    private final PeerService peers;
    private final RouteCosts costs;
    private final Map<String, Average> averages = new HashMap<>();

    ServiceLoads(EventLoop loop, PeerService peers, RouteCosts costs) {
        this.loop = loop;
        this.peers = peers;
        this.costs = costs;
    }

    /**
     * Decides whether a new call tree is refused.
     *
     * @return the overloaded service, or empty if the request is let in
     */
    Optional<Overload> findOverload(String route, String service, int rank, boolean isReturning, ServingRules rules) {
        List<Integer> ranks = rules.getRanks();
        int position = Math.max(0, ranks.indexOf(rank));
        double chance = Math.random();
        for (String used : costs.get(route).keySet()) {
            if (!costs.isUsed(route, used) && !used.equals(service)) {
                continue;
            }
            double load = toLoad(used);
            if (chance < LoadShedding.toRefusedShare(load, position, ranks.size(), isReturning)) {
                return Optional.of(new Overload(used, load));
            }
        }
        return Optional.empty();
    }

    /** Gets the averaged load of a service: busy requests by the sum of the limits of its instances. */
    double toLoad(String service) {
        long nowMs = loop.nowMs();
        Average average = averages.computeIfAbsent(service, unused -> new Average());
        if (nowMs == average.atMs) {
            return average.load;
        }
        peers.refreshOwnLoad();
        PeerService.Places places = peers.getPlaces(service);
        double busy = 0;
        double limit = 0;
        for (List<Peer> part : List.of(places.near(), places.far())) {
            for (Peer place : part) {
                busy += place.getLoad().getBusy();
                limit += place.getLoad().getLimit(nowMs);
            }
        }
        double load = limit > 0 ? busy / limit : 0;
        double weight = average.atMs == 0 ? 1 : 1 - Math.exp(-(nowMs - average.atMs) / AVERAGE_MS);
        average.load += weight * (load - average.load);
        average.atMs = nowMs;
        return average.load;
    }

    /**
     * A service without room.
     *
     * @param service its name
     * @param load its load, 1 when all slots are in use
     */
    record Overload(String service, double load) {}

    /** A moving average. */
    private static final class Average {

        private double load;
        private long atMs;
    }
}
