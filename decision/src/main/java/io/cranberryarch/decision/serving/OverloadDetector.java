package io.cranberryarch.decision.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks the load of services as observed by one node, and decides which new call trees to refuse because of it. Not
 * thread-safe.
 *
 * <pre>
 * detector.findOverload(new Tree("orders", "shop", 0, false), ranks, random.nextDouble(), nowMs);
 * </pre>
 */
public final class OverloadDetector {

    /** The time constant of the moving average of load, which smooths the differences between single arrivals. */
    private static final double LOAD_TIME_CONSTANT_MS = 100;

    /** The share of a service's capacity that new requests may use; the rest absorbs bursts of arrivals. */
    private static final double USABLE_CAPACITY_RATIO = 0.95;

    /** How long the summed demand of the peers is cached; they report several times less often. */
    private static final long MAX_PEER_DEMAND_AGE_MS = 50;

    private final FleetView fleet;
    private final RouteCosts costs;
    private final WorkDemand demand;
    private final Map<String, MovingAverage> averages = new HashMap<>();
    private final Map<String, SortedMap<Integer, Double>> peerDemand = new HashMap<>();
    private long peerDemandAtMs;

    /**
     * Creates a detector.
     *
     * @param fleet the instances and nodes known to this node
     * @param costs the costs of routes learned by this node
     * @param demand the demand of new requests at this node
     */
    public OverloadDetector(FleetView fleet, RouteCosts costs, WorkDemand demand) {
        this.fleet = fleet;
        this.costs = costs;
        this.demand = demand;
    }

    /**
     * Decides whether to refuse a new call tree, and records its expected demand.
     *
     * @param tree the request at the root of the call tree
     * @param ranks all ranks in use, the most important first
     * @param draw a random number from 0 to 1
     * @param nowMs the time in milliseconds
     * @return the overloaded service, or empty if the request is admitted
     */
    public Optional<Overload> findOverload(Tree tree, List<Integer> ranks, double draw, long nowMs) {
        int position = Math.max(0, ranks.indexOf(tree.rank()));
        Map<String, Double> cost = costs.get(tree.route());
        demand.add(tree.rank(), cost, nowMs);
        // Halving the draw of a returning request doubles its probability of falling within the served share.
        double effectiveDraw = tree.isReturning() ? draw / 2 : draw;
        for (String usedService : cost.keySet()) {
            if (!costs.isUsed(tree.route(), usedService) && !usedService.equals(tree.service())) {
                continue;
            }
            double load = toLoad(usedService, nowMs);
            double refusedRatio = LoadShedding.toRefusedRatio(load, position, ranks.size(), tree.isReturning());
            double servedRatio = toServedRatio(usedService, tree.rank(), nowMs);
            boolean isBeyondDemand = effectiveDraw >= servedRatio;
            if (effectiveDraw < refusedRatio || isBeyondDemand) {
                return Optional.of(new Overload(usedService, load, servedRatio, isBeyondDemand));
            }
        }
        return Optional.empty();
    }

    /** Returns the ratio of requests of a rank that a service has capacity for, given the demand at all nodes. */
    private double toServedRatio(String service, int rank, long nowMs) {
        SortedMap<Integer, Double> slots = demand.toSlots(service, nowMs);
        sumPeerDemand(service, nowMs).forEach((peerRank, peerSlots) -> slots.merge(peerRank, peerSlots, Double::sum));
        double[] capacity = new double[1];
        fleet.forEachInstance(service, load -> capacity[0] += load.toCapacity(nowMs));
        // Without a reachable instance the capacity is 0, as the call tree would run up to this service and fail.
        return WorkDemand.toServedRatio(slots, rank, USABLE_CAPACITY_RATIO * capacity[0]);
    }

    private SortedMap<Integer, Double> sumPeerDemand(String service, long nowMs) {
        if (nowMs - peerDemandAtMs > MAX_PEER_DEMAND_AGE_MS) {
            peerDemand.clear();
            peerDemandAtMs = nowMs;
        }
        return peerDemand.computeIfAbsent(service, unused -> {
            SortedMap<Integer, Double> slots = new TreeMap<>();
            fleet.forEachPeerDemand(reported -> WorkDemand.addReported(reported, service, slots));
            return slots;
        });
    }

    /** Returns the averaged load of a service: requests in flight divided by the sum of its instances' limits. */
    private double toLoad(String service, long nowMs) {
        MovingAverage average = averages.computeIfAbsent(service, unused -> new MovingAverage());
        if (nowMs == average.atMs) {
            return average.load;
        }
        double[] sums = new double[2];
        fleet.forEachInstance(service, instance -> {
            sums[0] += instance.getInFlight();
            sums[1] += instance.getLimit(nowMs);
        });
        double load = sums[1] > 0 ? sums[0] / sums[1] : 0;
        double weight = average.atMs == 0 ? 1 : 1 - Math.exp(-(nowMs - average.atMs) / LOAD_TIME_CONSTANT_MS);
        average.load += weight * (load - average.load);
        average.atMs = nowMs;
        return average.load;
    }

    /**
     * A request at the root of a call tree.
     *
     * @param route the name of its route
     * @param service the service that it is sent to
     * @param rank its rank, 0 for the most important
     * @param isReturning whether it is a retry that honored the Retry-After time of an earlier refusal
     */
    public record Tree(String route, String service, int rank, boolean isReturning) {}

    /**
     * An overloaded service.
     *
     * @param service the name of the service
     * @param load the load, 1 if all slots are in use
     * @param servedRatio the ratio of requests of the rank that the service has capacity for, from 0 to 1
     * @param isByDemand whether the request is beyond the served ratio, rather than refused for the load alone
     */
    public record Overload(String service, double load, double servedRatio, boolean isByDemand) {}

    /** An exponential moving average. */
    private static final class MovingAverage {

        private double load;
        private long atMs;
    }
}
