package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.LoadShedding;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.ServingRules;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** The load of services as this node sees it, and the refusals that follow from it at the entry. */
final class ServiceLoadTracker {

    /** The time over which the load of a service is averaged, as call trees reach deep services with a delay. */
    private static final double AVERAGE_MS = 250;

    /** The part of a service's room that new requests may fill; the rest takes up the unevenness of arrivals. */
    private static final double FILLED_PART = 0.95;

    /** How long a sum over the other nodes is used; they report several times less often. */
    private static final long SUM_MAX_AGE_MS = 50;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final RouteCosts costs;
    private final WorkDemand demand;
    private final Map<String, Average> averages = new HashMap<>();
    private final Map<String, SortedMap<Integer, Double>> demandOfOthers = new HashMap<>();
    private long summedAtMs;

    ServiceLoadTracker(EventLoop loop, PeerDirectory peers, RouteCosts costs, WorkDemand demand) {
        this.loop = loop;
        this.peers = peers;
        this.costs = costs;
        this.demand = demand;
    }

    /**
     * Decides whether a new call tree is refused, and notes what it asks for.
     *
     * @return the overloaded service, or empty if the request is let in
     */
    Optional<Overload> findOverload(String route, String service, int rank, boolean isReturning, ServingRules rules) {
        List<Integer> ranks = rules.getRanks();
        int position = Math.max(0, ranks.indexOf(rank));
        Map<String, Double> cost = costs.get(route);
        demand.add(rank, cost, loop.nowMs());
        // Requests that were refused before need half the luck of new ones.
        double chance = isReturning ? Math.random() / 2 : Math.random();
        for (String used : cost.keySet()) {
            if (!costs.isUsed(route, used) && !used.equals(service)) {
                continue;
            }
            double load = toLoad(used);
            double refused = LoadShedding.toRefusedShare(load, position, ranks.size(), isReturning);
            double served = toServedShare(used, rank);
            if (chance < refused || chance >= served) {
                return Optional.of(new Overload(used, load, served));
            }
        }
        return Optional.empty();
    }

    /** Gets the share of requests of a rank that fits into a service, by what is asked for at all nodes. */
    private double toServedShare(String service, int rank) {
        long nowMs = loop.nowMs();
        SortedMap<Integer, Double> slots = demand.toSlots(service, nowMs);
        sumDemandOfOthers(service, nowMs).forEach((other, busy) -> slots.merge(other, busy, Double::sum));
        double capacity = 0;
        PeerDirectory.Candidates candidates = peers.getCandidates(service);
        for (List<Peer> part : List.of(candidates.sameZone(), candidates.otherZones())) {
            for (Peer place : part) {
                capacity += place.getLoad().toCapacity(nowMs);
            }
        }
        // Without any instance in reach the call tree would run up to here and fail.
        return WorkDemand.toServedShare(slots, rank, FILLED_PART * capacity);
    }

    private SortedMap<Integer, Double> sumDemandOfOthers(String service, long nowMs) {
        if (nowMs - summedAtMs > SUM_MAX_AGE_MS) {
            demandOfOthers.clear();
            summedAtMs = nowMs;
        }
        return demandOfOthers.computeIfAbsent(service, unused -> {
            SortedMap<Integer, Double> slots = new TreeMap<>();
            for (Peer peer : peers.getPeers()) {
                if (peer.getLink().isPresent()) {
                    WorkDemand.addReported(peer.getWorkDemand(), service, slots);
                }
            }
            return slots;
        });
    }

    /** Gets the averaged load of a service: busy requests by the sum of the limits of its instances. */
    double toLoad(String service) {
        long nowMs = loop.nowMs();
        Average average = averages.computeIfAbsent(service, unused -> new Average());
        if (nowMs == average.atMs) {
            return average.load;
        }
        peers.refreshLocalLoad();
        PeerDirectory.Candidates candidates = peers.getCandidates(service);
        double busy = 0;
        double limit = 0;
        for (List<Peer> part : List.of(candidates.sameZone(), candidates.otherZones())) {
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
     * @param served the share of requests of the rank that fits in
     */
    record Overload(String service, double load, double served) {}

    /** A moving average. */
    private static final class Average {

        private double load;
        private long atMs;
    }
}
