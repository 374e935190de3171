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
    private final NodeComponent component;

    private Node(Closer closer, NodeComponent component) {
        this.closer = closer;
        this.component = component;
    }

    /**
     * Starts a node.
     *
     * @param config the configuration, validated
     * @return the running node
     * @throws Exception if a port cannot be bound; all started components are closed
     */
    public static Node start(NodeConfig config) throws Exception {
        Closer closer = new Closer();
        try {
            NodeComponent component = DaggerNodeComponent.builder()
                    .nodeModule(new NodeModule(config, closer))
                    .build();
            Node node = new Node(closer, component);
            component.network().start(node::onFrame, component.timer());
            component.httpServer().start();
            component.settings().start(component.blocking());
            component.members().start(component.timer());
            component.leases().start(component.blocking());
            component.rates().start(component.timer());
            component.keys().start(component.timer());
            component.counts().start(component.blocking());
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
        return component.httpServer().getEntryPort();
    }

    /**
     * Gets the port for the upstream.
     *
     * @return the bound port
     */
    public int getLocalPort() {
        return component.httpServer().getLocalPort();
    }

    /**
     * Gets the port for operators.
     *
     * @return the bound port
     */
    public int getAdminPort() {
        return component.httpServer().getAdminPort();
    }

    /**
     * Gets the port for other nodes.
     *
     * @return the bound port
     * @throws IOException if the node is stopped
     */
    public int getPeerPort() throws IOException {
        return component.network().getPort();
    }

    /**
     * Checks whether the node has received settings and may serve routes that require a key.
     *
     * @return whether the node is ready
     */
    public boolean isReady() {
        return component.settings().isReady() && component.rates().isReady();
    }

    /**
     * Counts the calls in flight at the gate.
     *
     * @return the number of calls
     */
    public int getInFlight() {
        return component.gate().getLoad().inFlight();
    }

    /**
     * Counts the members that serve calls, according to the membership of this node.
     *
     * @return the number of serving members of all services
     */
    public int getServingMembers() {
        int count = 0;
        for (Member member : component.members().getMembers()) {
            if (member.state().isServing()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Stops immediately and without notice to peers, as in a crash.
     *
     * @throws Exception if a component cannot be closed
     */
    public void kill() throws Exception {
        closer.close();
    }

    /**
     * Stops gracefully: broadcasts that the node is leaving, completes calls in progress, writes the counts and closes.
     *
     * @throws Exception if a component cannot be closed
     */
    @Override
    public void close() throws Exception {
        new GracefulStop(component).run();
        closer.close();
    }

    private void onFrame(PeerConnection connection, Frame frame) {
        switch (frame.message().getType()) {
            case CALL -> component.calls().onCall(connection, frame);
            case GOSSIP -> component.members().onGossip(connection, frame);
            case PROBE -> component.members().onProbe(connection, frame);
            case TOKEN_REQUEST -> component.tokens().onRequest(connection, frame);
            case SETTINGS_PULL -> component.settings().onPull(connection, frame);
            default -> Logger.debug("frame-ignored type={}", frame.message().getType());
        }
    }
}
