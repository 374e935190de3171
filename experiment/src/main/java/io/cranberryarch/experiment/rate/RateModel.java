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
 * A fleet that serves one client account, driven event by event. The same decisions run here as in a node.
 *
 * <pre>
 * RateOutcome outcome = new RateModel(topology, load, RateScenario.EVEN, 1).run(120_000);
 * </pre>
 */
public final class RateModel {

    private static final double MS_PER_SECOND = 1_000;
    private static final long TICK_MS = 20;
    private static final long ZONE_DELAY_MS = 1;
    private static final long FAR_DELAY_MS = 2;

    private final RateTopology topology;
    private final RateLoad load;
    private final RateScenario scenario;
    private final Random random;
    private final int host;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<RateModelNode> nodes = new ArrayList<>();
    private final List<ShardAllocator> allocators = new ArrayList<>();
    private double idealLevel;
    private long idealAtMs;
    private long nextOrder;
    private long nowMs;
    private boolean isReplaced;
    private RateOutcome outcome = RateOutcome.NONE;

    /**
     * Creates a model.
     *
     * @param topology zones and nodes
     * @param load the account
     * @param scenario what happens
     * @param seed makes runs the same
     */
    public RateModel(RateTopology topology, RateLoad load, RateScenario scenario, long seed) {
        this.topology = topology;
        this.load = load;
        this.scenario = scenario;
        this.random = new Random(seed);
        this.host = scenario.toHost(seed, topology.nodesPerZone());
        this.idealLevel = load.burst();
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
     * @param lengthMs the length of the run in milliseconds
     * @return what became of the calls
     */
    public RateOutcome run(long lengthMs) {
        arrive();
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

    /** Brings a request to the allocator of its zone, and the answer back. */
    void send(int node, TokenRequest request) {
        int zone = topology.zones().indexOf(request.zone());
        int allocator = zone * topology.nodesPerZone() + host;
        if (allocator != node) {
            outcome = outcome.plus(new RateOutcome(0, 0, 0, 0, 0, 0, 1));
        }
        after(toDelayMs(node, allocator), () -> receive(node, allocator, request));
    }

    void onAdmitted(int node, boolean isWithin) {
        count(node, isWithin, false);
    }

    void onRefused(int node, boolean isWithin) {
        count(node, isWithin, true);
    }

    private void receive(int node, int allocator, TokenRequest request) {
        int zone = topology.toZone(allocator);
        if (isDown(allocator) || scenario.isCut(topology.toZone(node), zone, nowMs)) {
            return;
        }
        TokenAnswer answer = allocators.get(zone).handle(request, topology.toShare(load, zone), nowMs);
        if (request.wanted() > 0) {
            after(toDelayMs(node, allocator), () -> nodes.get(node).onAnswer(request, answer));
        }
    }

    private void arrive() {
        double gapMs = -Math.log(1 - random.nextDouble()) / (load.ratePerSecond() * load.loadRatio()) * MS_PER_SECOND;
        after(Math.round(gapMs), () -> {
            arrive();
            int node = scenario.pickNode(random, nowMs, topology);
            while (isDown(node)) {
                node = (node + 1) % topology.size();
            }
            nodes.get(node).onCall(tryTakeIdeal());
        });
    }

    private void tick() {
        after(TICK_MS, () -> {
            tick();
            replace();
            for (RateModelNode node : nodes) {
                node.tick();
            }
        });
    }

    /** Starts the killed node anew, with the lease if its predecessor held it. */
    private void replace() {
        boolean wasDown = scenario.isNodeDown(0, nowMs - TICK_MS);
        if (wasDown && !isDown(0) && !isReplaced) {
            isReplaced = true;
            if (host == 0) {
                allocators.set(0, new ShardAllocator(2, false, nowMs));
            }
            nodes.set(0, new RateModelNode(this, 0));
        }
    }

    private boolean tryTakeIdeal() {
        double filled = load.ratePerSecond() * (nowMs - idealAtMs) / MS_PER_SECOND;
        idealLevel = Math.min(load.burst(), idealLevel + filled);
        idealAtMs = nowMs;
        if (idealLevel < 1) {
            return false;
        }
        idealLevel--;
        return true;
    }

    private void count(int node, boolean isWithin, boolean isRefused) {
        long within = isWithin ? 1 : 0;
        long refused = isWithin && isRefused ? 1 : 0;
        int cut = scenario.isCut(topology.toZone(node), topology.zones().size() - 1, nowMs) ? 1 : 0;
        outcome = outcome.plus(new RateOutcome(1, isRefused ? 0 : 1, within, refused, within * cut, refused * cut, 0));
    }

    private long toDelayMs(int node, int other) {
        if (node == other) {
            return 0;
        }
        return topology.toZone(node) == topology.toZone(other) ? ZONE_DELAY_MS : FAR_DELAY_MS;
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, nextOrder++, action));
    }

    /** Something that happens at a moment. */
    private record Event(long atMs, long order, Runnable action) {}
}
