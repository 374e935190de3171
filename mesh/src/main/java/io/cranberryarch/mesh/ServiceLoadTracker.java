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

/** Tracks the load of services as observed by this node, and decides which new call trees to refuse because of it. */
final class ServiceLoadTracker {

    /** The time constant of the moving average of load. Call trees reach deep services only after a delay. */
    private static final double LOAD_TIME_CONSTANT_MS = 250;

    /** The share of a service's capacity that new requests may use; the rest absorbs bursts of arrivals. */
    private static final double USABLE_CAPACITY_RATIO = 0.95;

    /** How long the summed demand of the peers is cached; they report several times less often. */
    private static final long MAX_PEER_DEMAND_AGE_MS = 50;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final RouteCosts costs;
    private final WorkDemand demand;
    private final Map<String, MovingAverage> averages = new HashMap<>();
    private final Map<String, SortedMap<Integer, Double>> peerDemand = new HashMap<>();
    private long peerDemandAtMs;

    ServiceLoadTracker(EventLoop loop, PeerDirectory peers, RouteCosts costs, WorkDemand demand) {
        this.loop = loop;
        this.peers = peers;
        this.costs = costs;
        this.demand = demand;
    }

    /**
     * Decides whether to refuse a new call tree, and records its expected demand.
     *
     * @param route the name of the route
     * @param service the service that the request is sent to
     * @param rank the rank of the request, 0 for the most important
     * @param isReturning whether the request is a retry that honored the Retry-After time of an earlier refusal
     * @param rules the rules in force
     * @return the overloaded service, or empty if the request is admitted
     */
    Optional<Overload> findOverload(String route, String service, int rank, boolean isReturning, ServingRules rules) {
        List<Integer> ranks = rules.getRanks();
        int position = Math.max(0, ranks.indexOf(rank));
        Map<String, Double> cost = costs.get(route);
        demand.add(rank, cost, loop.nowMs());
        // Halving the draw of a returning request doubles its probability of falling within the served share.
        double draw = isReturning ? Math.random() / 2 : Math.random();
        for (String usedService : cost.keySet()) {
            if (!costs.isUsed(route, usedService) && !usedService.equals(service)) {
                continue;
            }
            double load = toLoad(usedService);
            double refusedRatio = LoadShedding.toRefusedRatio(load, position, ranks.size(), isReturning);
            double servedRatio = toServedRatio(usedService, rank);
            if (draw < refusedRatio || draw >= servedRatio) {
                return Optional.of(new Overload(usedService, load, servedRatio));
            }
        }
        return Optional.empty();
    }

    /** Returns the ratio of requests of a rank that a service has capacity for, given the demand at all nodes. */
    private double toServedRatio(String service, int rank) {
        long nowMs = loop.nowMs();
        SortedMap<Integer, Double> slots = demand.toSlots(service, nowMs);
        sumPeerDemand(service, nowMs).forEach((peerRank, peerSlots) -> slots.merge(peerRank, peerSlots, Double::sum));
        double capacity = 0;
        PeerDirectory.Candidates candidates = peers.getCandidates(service);
        for (List<Peer> candidateGroup : List.of(candidates.sameZone(), candidates.otherZones())) {
            for (Peer candidate : candidateGroup) {
                capacity += candidate.getLoad().toCapacity(nowMs);
            }
        }
        // Without a reachable instance the capacity is 0, as the call tree would run up to this service and fail.
        return WorkDemand.toServedRatio(slots, rank, USABLE_CAPACITY_RATIO * capacity);
    }

    private SortedMap<Integer, Double> sumPeerDemand(String service, long nowMs) {
        if (nowMs - peerDemandAtMs > MAX_PEER_DEMAND_AGE_MS) {
            peerDemand.clear();
            peerDemandAtMs = nowMs;
        }
        return peerDemand.computeIfAbsent(service, unused -> {
            SortedMap<Integer, Double> slots = new TreeMap<>();
            for (Peer peer : peers.getPeers()) {
                if (peer.getLink().isPresent()) {
                    WorkDemand.addReported(peer.getWorkDemand(), service, slots);
                }
            }
            return slots;
        });
    }

    /** Returns the averaged load of a service: requests in flight divided by the sum of its instances' limits. */
    double toLoad(String service) {
        long nowMs = loop.nowMs();
        MovingAverage average = averages.computeIfAbsent(service, unused -> new MovingAverage());
        if (nowMs == average.atMs) {
            return average.load;
        }
        peers.refreshLocalLoad();
        PeerDirectory.Candidates candidates = peers.getCandidates(service);
        double inFlight = 0;
        double limit = 0;
        for (List<Peer> candidateGroup : List.of(candidates.sameZone(), candidates.otherZones())) {
            for (Peer candidate : candidateGroup) {
                inFlight += candidate.getLoad().getInFlight();
                limit += candidate.getLoad().getLimit(nowMs);
            }
        }
        double load = limit > 0 ? inFlight / limit : 0;
        double weight = average.atMs == 0 ? 1 : 1 - Math.exp(-(nowMs - average.atMs) / LOAD_TIME_CONSTANT_MS);
        average.load += weight * (load - average.load);
        average.atMs = nowMs;
        return average.load;
    }

    /**
     * An overloaded service.
     *
     * @param service the name of the service
     * @param load the load, 1 if all slots are in use
     * @param servedRatio the ratio of requests of the rank that the service has capacity for, from 0 to 1
     */
    record Overload(String service, double load, double servedRatio) {}

    /** An exponential moving average. */
    private static final class MovingAverage {

        private double load;
        private long atMs;
    }
}
