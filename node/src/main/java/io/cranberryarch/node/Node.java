package io.cranberryarch.node;

import io.cranberryarch.base.Closer;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.settings.NodeConfig;
import io.cranberryarch.wire.Frame;
import java.io.IOException;
import org.tinylog.Logger;

/**
 * A running node.
 *
 * <pre>
 * try (Node node = Node.start(config)) {
 *     node.getEntryPort();
 * }
 * </pre>
 */
public final class Node implements AutoCloseable {

    private final Closer closer;
    private final NodeComponent parts;

    private Node(Closer closer, NodeComponent parts) {
        this.closer = closer;
        this.parts = parts;
    }

    /**
     * Starts a node.
     *
     * @param config its settings, validated
     * @return the running node
     * @throws Exception if a port cannot be bound; nothing is left running
     */
    public static Node start(NodeConfig config) throws Exception {
        Closer closer = new Closer();
        try {
            NodeComponent parts = DaggerNodeComponent.builder()
                    .nodeModule(new NodeModule(config, closer))
                    .build();
            Node node = new Node(closer, parts);
            parts.network().start(node::onFrame, parts.timer());
            parts.httpServer().start();
            parts.settings().start(parts.blocking());
            parts.members().start(parts.timer());
            parts.leases().start(parts.blocking());
            parts.rates().start(parts.timer());
            parts.keys().start(parts.timer());
            parts.counts().start(parts.blocking());
            Logger.info(
                    "node-started instance={} zone={} service={}", config.instance(), config.zone(), config.service());
            return node;
        } catch (Exception e) {
            closer.close();
            throw e;
        }
    }

    /**
     * Gets the port for callers.
     *
     * @return the bound port
     */
    public int getEntryPort() {
        return parts.httpServer().getEntryPort();
    }

    /**
     * Gets the port for the upstream.
     *
     * @return the bound port
     */
    public int getLocalPort() {
        return parts.httpServer().getLocalPort();
    }

    /**
     * Gets the port for operators.
     *
     * @return the bound port
     */
    public int getAdminPort() {
        return parts.httpServer().getAdminPort();
    }

    /**
     * Gets the port for other nodes.
     *
     * @return the bound port
     * @throws IOException if the node is stopped
     */
    public int getPeerPort() throws IOException {
        return parts.network().getPort();
    }

    /**
     * Checks whether the node has learned settings and may serve keyed routes.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return parts.settings().isReady() && parts.rates().isReady();
    }

    /**
     * Counts the calls that run or wait at the gate.
     *
     * @return the number of calls
     */
    public int getInFlight() {
        return parts.gate().getLoad().inFlight();
    }

    /**
     * Counts the members that take calls, as this node knows them.
     *
     * @return the number of members of all services
     */
    public int getServingMembers() {
        int count = 0;
        for (Member member : parts.members().getMembers()) {
            if (member.state().isServing()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Stops at once and tells nobody, as a crash would.
     *
     * @throws Exception if a part cannot be closed
     */
    public void kill() throws Exception {
        closer.close();
    }

    /**
     * Stops gracefully: announces that the node is leaving, lets calls in progress end, writes the counts and closes.
     *
     * @throws Exception if a part cannot be closed
     */
    @Override
    public void close() throws Exception {
        new GracefulStop(parts).run();
        closer.close();
    }

    private void onFrame(PeerConnection connection, Frame frame) {
        switch (frame.message().getType()) {
            case CALL -> parts.calls().onCall(connection, frame);
            case GOSSIP -> parts.members().onGossip(connection, frame);
            case PROBE -> parts.members().onProbe(connection, frame);
            case TOKEN_REQUEST -> parts.tokens().onRequest(connection, frame);
            case SETTINGS_PULL -> parts.settings().onPull(connection, frame);
            default -> Logger.debug("frame-ignored type={}", frame.message().getType());
        }
    }
}
