package io.cranberryarch.node.peer;

import io.cranberryarch.base.Clock;
import io.cranberryarch.node.NodeIdentity;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.nio.channels.UnresolvedAddressException;
import java.nio.channels.UnsupportedAddressTypeException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Manages the connections of this node to its peers, with one outgoing connection for each address, opened on demand.
 *
 * <p>Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final long TICK_INTERVAL_MS = 250;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final NodeIdentity identity;
    private final String secret;
    private final Clock clock;
    private final AsynchronousChannelGroup group;
    private final AsynchronousServerSocketChannel server;
    private final Map<InetSocketAddress, CompletableFuture<PeerConnection>> outgoing = new ConcurrentHashMap<>();
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile PeerHandler handler;
    private volatile ScheduledExecutorService timer;

    /**
     * Binds the port for peers.
     *
     * @param identity the identity of this node
     * @param secret the secret of the fleet
     * @param clock the clock
     * @param group the threads for input and output, owned by the caller
     * @param address the address to bind; the system selects the port if it is 0
     * @throws IOException if the port cannot be bound
     */
    public PeerNetwork(
            NodeIdentity identity,
            String secret,
            Clock clock,
            AsynchronousChannelGroup group,
            InetSocketAddress address)
            throws IOException {
        this.identity = identity;
        this.secret = secret;
        this.clock = clock;
        this.group = group;
        this.server = AsynchronousServerSocketChannel.open(group).bind(address);
    }

    /**
     * Starts to accept connections of peers.
     *
     * @param newHandler handles messages of peers
     * @param newTimer schedules keep-alive checks and connect timeouts
     */
    public void start(PeerHandler newHandler, ScheduledExecutorService newTimer) {
        handler = newHandler;
        timer = newTimer;
        server.accept(null, new AcceptHandler());
        timer.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gets the bound port.
     *
     * @return the port
     * @throws IOException if the server is closed
     */
    public int getPort() throws IOException {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /**
     * Gets a connection to a peer, opening one if there is none.
     *
     * @param address the address, not {@code null}
     * @return the authenticated connection; fails with {@link PeerLostException} if it cannot be opened
     */
    public CompletableFuture<PeerConnection> connect(InetSocketAddress address) {
        CompletableFuture<PeerConnection> existing = outgoing.get(address);
        if (existing != null && isUsable(existing)) {
            return existing;
        }
        CompletableFuture<PeerConnection> created = new CompletableFuture<>();
        CompletableFuture<PeerConnection> selected =
                outgoing.compute(address, (key, current) -> current != null && isUsable(current) ? current : created);
        if (selected == created) {
            open(address, created);
        }
        return selected;
    }

    /** Stops accepting connections, and notifies connected peers to send no more requests. */
    public void sendGoAway() {
        closeServer();
        connections.forEach(PeerConnection::sendGoAway);
    }

    /** Shuts down the output streams to all peers. Responses sent before still arrive. Call when {@link #isIdle}. */
    public void shutdownOutput() {
        connections.forEach(PeerConnection::shutdownOutput);
    }

    /**
     * Checks whether no message waits to be written.
     *
     * @return whether all messages were passed to the operating system
     */
    public boolean isIdle() {
        return connections.stream().allMatch(PeerConnection::isIdle);
    }

    /**
     * Checks whether any connection is open.
     *
     * @return whether at least one connection is not closed
     */
    public boolean hasConnections() {
        return connections.stream().anyMatch(connection -> !connection.isClosed());
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (PeerConnection connection : connections) {
            connection.close();
        }
    }

    private static boolean isUsable(CompletableFuture<PeerConnection> future) {
        if (!future.isDone()) {
            return true;
        }
        return !future.isCompletedExceptionally() && future.join().isOpen();
    }

    private void open(InetSocketAddress address, CompletableFuture<PeerConnection> target) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException | ShutdownChannelGroupException e) {
            target.completeExceptionally(new PeerLostException("failed to open a channel: " + e, false));
            return;
        }
        try {
            var timeout =
                    timer.schedule(() -> closeUnconnected(channel, target), CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            target.whenComplete((connection, failure) -> timeout.cancel(false));
            channel.connect(address, null, new ConnectHandler(channel, target));
        } catch (UnresolvedAddressException
                | UnsupportedAddressTypeException
                | ShutdownChannelGroupException
                | RejectedExecutionException e) {
            // The address cannot be used, or the node is stopping.
            close(channel);
            target.completeExceptionally(new PeerLostException("failed to connect: " + e, false));
        }
    }

    private static void closeUnconnected(AsynchronousSocketChannel channel, CompletableFuture<PeerConnection> target) {
        if (target.completeExceptionally(new PeerLostException("connection timed out", false))) {
            close(channel);
        }
    }

    private static void close(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            Logger.debug("peer-close-failed reason=\"{}\"", e.getMessage());
        }
    }

    private void closeServer() {
        try {
            server.close();
        } catch (IOException e) {
            Logger.debug("peer-server-close-failed reason=\"{}\"", e.getMessage());
        }
    }

    /** Replaces silent connections by new ones. Requests that are pending on an old connection remain there. */
    private void replaceSilentConnections(long nowMs) {
        for (Map.Entry<InetSocketAddress, CompletableFuture<PeerConnection>> entry : outgoing.entrySet()) {
            CompletableFuture<PeerConnection> existing = entry.getValue();
            if (!existing.isDone()
                    || existing.isCompletedExceptionally()
                    || !existing.join().isSuspect(nowMs)) {
                continue;
            }
            CompletableFuture<PeerConnection> replacement = new CompletableFuture<>();
            if (outgoing.replace(entry.getKey(), existing, replacement)) {
                Logger.warn("peer-silent peer={}", existing.join().getPeerInstance());
                existing.join().retire();
                open(entry.getKey(), replacement);
            }
        }
    }

    private PeerConnection register(AsynchronousSocketChannel channel, boolean isInitiator) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        Handshake handshake = new Handshake(secret, identity, isInitiator);
        PeerConnection connection = new PeerConnection(channel, handshake, handler, clock);
        connections.add(connection);
        connection.start();
        return connection;
    }

    private void tick() {
        long nowMs = clock.monotonicMs();
        replaceSilentConnections(nowMs);
        for (PeerConnection connection : connections) {
            connection.tick(nowMs);
            if (connection.isClosed()) {
                connections.remove(connection);
            }
        }
    }

    /** Registers each accepted connection and accepts the next one. */
    private final class AcceptHandler implements CompletionHandler<AsynchronousSocketChannel, Void> {

        @Override
        public void completed(AsynchronousSocketChannel channel, Void unused) {
            server.accept(null, this);
            try {
                register(channel, false);
            } catch (IOException e) {
                Logger.debug("peer-accept-failed reason=\"{}\"", e.getMessage());
                close(channel);
            }
        }

        @Override
        public void failed(Throwable failure, Void unused) {
            if (server.isOpen()) {
                Logger.warn("peer-accept-failed reason=\"{}\"", failure.getMessage());
                server.accept(null, this);
            }
        }
    }

    /** Registers an outgoing connection, or reports that it failed to open. */
    private final class ConnectHandler implements CompletionHandler<Void, Void> {

        private final AsynchronousSocketChannel channel;
        private final CompletableFuture<PeerConnection> target;

        ConnectHandler(AsynchronousSocketChannel channel, CompletableFuture<PeerConnection> target) {
            this.channel = channel;
            this.target = target;
        }

        @Override
        public void completed(Void result, Void unused) {
            try {
                register(channel, true).whenReady().whenComplete((connection, failure) -> {
                    if (failure == null) {
                        target.complete(connection);
                    } else {
                        target.completeExceptionally(failure);
                    }
                });
            } catch (IOException e) {
                close(channel);
                failed(e, null);
            }
        }

        @Override
        public void failed(Throwable failure, Void unused) {
            target.completeExceptionally(new PeerLostException(String.valueOf(failure.getMessage()), false));
        }
    }
}
