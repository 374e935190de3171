package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.RouteCostsMessage;
import io.cranberryarch.wire.RouteCostsRequestMessage;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Learns the costs of routes from the node's own requests and from other nodes, so that a node that has just started
 * knows which services a call tree needs before its first ones have ended.
 */
final class CostsService {

    /** How often another node is asked while nothing is known; before the first traffic nobody knows anything. */
    private static final long REQUEST_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final RouteCosts costs;
    private long requestedAtMs;
    private Consumer<Message> broadcast = message -> {};

    CostsService(EventLoop loop, RouteCosts costs) {
        this.loop = loop;
        this.requestedAtMs = loop.nowMs() - REQUEST_INTERVAL_MS;
        this.costs = costs;
    }

    /** Sets what sends a message to all connected nodes. */
    void setBroadcast(Consumer<Message> newBroadcast) {
        broadcast = newBroadcast;
    }

    /** Notes what a request used that was served, and tells the other nodes if it was the first of its route. */
    void record(String route, Map<String, Double> usedMs) {
        if (costs.record(route, usedMs)) {
            broadcast.accept(new RouteCostsMessage(Map.of(route, usedMs)));
        }
    }

    int countRoutes() {
        return costs.getAll().size();
    }

    /** Tells whether nothing is known and the last question was not answered. */
    boolean isAskDue() {
        return costs.isEmpty() && loop.nowMs() - requestedAtMs >= REQUEST_INTERVAL_MS;
    }

    /** Asks a node what it knows, if that is due. */
    void ask(PeerLink link) {
        if (isAskDue()) {
            requestedAtMs = loop.nowMs();
            link.send(new RouteCostsRequestMessage());
        }
    }

    void onRequest(PeerLink link) {
        if (!costs.isEmpty()) {
            link.send(new RouteCostsMessage(costs.getAll()));
        }
    }

    void onCosts(RouteCostsMessage message) {
        message.costsMs().forEach(costs::learn);
    }
}
