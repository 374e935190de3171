package io.cranberryarch.experiment.rate;

import io.cranberryarch.decision.rate.ShardAllocator;
import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A discrete-event simulation of a fleet that serves one client account, with the decision code of a node.
 *
 * <pre>
 * RateOutcome outcome = new RateModel(topology, load, RateScenario.EVEN, 1).run(120_000);
 * </pre>
 */
public final class RateModel {

    private static final double MS_PER_SECOND = 1_000;
    private static final long TICK_MS = 20;
    private static final long SAME_ZONE_DELAY_MS = 1;
    private static final long CROSS_ZONE_DELAY_MS = 2;

    private final RateTopology topology;
    private final RateLoad load;
    private final RateScenario scenario;
    private final Random random;
    private final int allocatorIndex;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<RateModelNode> nodes = new ArrayList<>();
    private final List<ShardAllocator> allocators = new ArrayList<>();
    private double referenceTokens;
    private long referenceUpdatedAtMs;
    private long nextOrder;
    private long nowMs;
    private boolean isReplaced;
    private RateOutcome outcome = RateOutcome.NONE;

    /**
     * Creates a model.
     *
     * @param topology the zones and nodes, not {@code null}
     * @param load the client account and its load, not {@code null}
     * @param scenario the arrivals and failures, not {@code null}
     * @param seed the seed of the random numbers; equal seeds give equal results
     */
    public RateModel(RateTopology topology, RateLoad load, RateScenario scenario, long seed) {
        this.topology = topology;
        this.load = load;
        this.scenario = scenario;
        this.random = new Random(seed);
        this.allocatorIndex = scenario.toAllocatorIndex(seed, topology.nodesPerZone());
        this.referenceTokens = load.burst();
        for (int zone = 0; zone < topology.zones().size(); zone++) {
            allocators.add(new ShardAllocator(1, true, 0));
        }
        for (int node = 0; node < topology.size(); node++) {
            nodes.add(new RateModelNode(this, node));
        }
    }

    /**
     * Runs the model.
     *
     * @param lengthMs the simulated time in milliseconds
     * @return the outcome of the calls
     */
    public RateOutcome run(long lengthMs) {
        scheduleArrival();
        tick();
        while (!events.isEmpty() && events.peek().atMs() < lengthMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return outcome;
    }

    RateTopology getTopology() {
        return topology;
    }

    RateLoad getLoad() {
        return load;
    }

    long getNowMs() {
        return nowMs;
    }

    boolean isDown(int node) {
        return scenario.isNodeDown(node, nowMs);
    }

    /** Delivers a request to the allocator of its zone, and its answer to the node. */
    void send(int node, TokenRequest request) {
        int zone = topology.zones().indexOf(request.zone());
        int allocator = zone * topology.nodesPerZone() + allocatorIndex;
        if (allocator != node) {
            outcome = outcome.plus(new RateOutcome(0, 0, 0, 0, 0, 0, 1));
        }
        after(toDelayMs(node, allocator), () -> receive(node, allocator, request));
    }

    void onAdmitted(int node, boolean isWithinRate) {
        count(node, isWithinRate, false);
    }

    void onRefused(int node, boolean isWithinRate) {
        count(node, isWithinRate, true);
    }

    private void receive(int node, int allocator, TokenRequest request) {
        int zone = topology.toZone(allocator);
        if (isDown(allocator) || scenario.isPartitioned(topology.toZone(node), zone, nowMs)) {
            return;
        }
        TokenAnswer answer = allocators.get(zone).handle(request, topology.toShare(load, zone), nowMs);
        if (request.wanted() > 0) {
            after(toDelayMs(node, allocator), () -> nodes.get(node).onAnswer(request, answer));
        }
    }

    private void scheduleArrival() {
        double interarrivalMs =
                -Math.log(1 - random.nextDouble()) / (load.ratePerSecond() * load.loadRatio()) * MS_PER_SECOND;
        after(Math.round(interarrivalMs), () -> {
            scheduleArrival();
            int node = scenario.pickNode(random, nowMs, topology);
            while (isDown(node)) {
                node = (node + 1) % topology.size();
            }
            nodes.get(node).onCall(tryTakeReferenceToken());
        });
    }

    private void tick() {
        after(TICK_MS, () -> {
            tick();
            replaceKilledNode();
            for (RateModelNode node : nodes) {
                node.tick();
            }
        });
    }

    /** Replaces the killed node, which receives the lease if its predecessor held it. */
    private void replaceKilledNode() {
        boolean wasKilled = scenario.isNodeDown(0, nowMs - TICK_MS);
        if (wasKilled && !isDown(0) && !isReplaced) {
            isReplaced = true;
            if (allocatorIndex == 0) {
                allocators.set(0, new ShardAllocator(2, false, nowMs));
            }
            nodes.set(0, new RateModelNode(this, 0));
        }
    }

    private boolean tryTakeReferenceToken() {
        double refill = load.ratePerSecond() * (nowMs - referenceUpdatedAtMs) / MS_PER_SECOND;
        referenceTokens = Math.min(load.burst(), referenceTokens + refill);
        referenceUpdatedAtMs = nowMs;
        if (referenceTokens < 1) {
            return false;
        }
        referenceTokens--;
        return true;
    }

    private void count(int node, boolean isWithinRate, boolean isRefused) {
        long withinRate = isWithinRate ? 1 : 0;
        long refused = isWithinRate && isRefused ? 1 : 0;
        int partitioned =
                scenario.isPartitioned(topology.toZone(node), topology.zones().size() - 1, nowMs) ? 1 : 0;
        outcome = outcome.plus(new RateOutcome(
                1, isRefused ? 0 : 1, withinRate, refused, withinRate * partitioned, refused * partitioned, 0));
    }

    private long toDelayMs(int node, int other) {
        if (node == other) {
            return 0;
        }
        return topology.toZone(node) == topology.toZone(other) ? SAME_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS;
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, nextOrder++, action));
    }

    /** An action at a simulated time. */
    private record Event(long atMs, long order, Runnable action) {}
}
