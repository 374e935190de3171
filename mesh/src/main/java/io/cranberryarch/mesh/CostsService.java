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

    /** How long an answer is awaited before the next node is asked; most come within a few milliseconds. */
    private static final long REQUEST_INTERVAL_MS = 100;

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

    /** Asks a node that has just been connected, while nothing is known. */
    void onConnected(PeerLink link) {
        boolean isDue = loop.nowMs() - requestedAtMs >= REQUEST_INTERVAL_MS;
        if (isDue && costs.isEmpty()) {
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
