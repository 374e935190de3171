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
 * All connections of this node to its peers: one outgoing connection for each address, kept and reopened on demand.
 *
 * <p>Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final long TICK_MS = 250;
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
     * @param identity who this node is
     * @param secret the secret of the fleet
     * @param clock the clock
     * @param group the threads for input and output, owned by the caller
     * @param address the address to bind, port 0 to let the system choose
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
     * Starts to accept peers.
     *
     * @param newHandler receives their messages
     * @param newTimer runs the keep-alive
     */
    public void start(PeerHandler newHandler, ScheduledExecutorService newTimer) {
        handler = newHandler;
        timer = newTimer;
        server.accept(null, new AcceptHandler());
        timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
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
        CompletableFuture<PeerConnection> known = outgoing.get(address);
        if (known != null && isUsable(known)) {
            return known;
        }
        CompletableFuture<PeerConnection> fresh = new CompletableFuture<>();
        CompletableFuture<PeerConnection> winner =
                outgoing.compute(address, (key, current) -> current != null && isUsable(current) ? current : fresh);
        if (winner == fresh) {
            open(address, fresh);
        }
        return winner;
    }

    /** Accepts no new peers, and tells the present ones to send no more requests. */
    public void sendGoAway() {
        closeServer();
        connections.forEach(PeerConnection::sendGoAway);
    }

    /** Ends the streams to all peers, to be called when {@link #isIdle}. Answers sent before still arrive. */
    public void shutdownOutput() {
        connections.forEach(PeerConnection::shutdownOutput);
    }

    /**
     * Checks whether nothing waits to be written.
     *
     * @return whether all messages were handed to the system
     */
    public boolean isIdle() {
        return connections.stream().allMatch(PeerConnection::isIdle);
    }

    /**
     * Checks whether a connection is open.
     *
     * @return whether there is any
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
            target.completeExceptionally(new PeerLostException("no channel: " + e, false));
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
            // The address is of no use, or the node is ending.
            close(channel);
            target.completeExceptionally(new PeerLostException("no connection: " + e, false));
        }
    }

    private static void closeUnconnected(AsynchronousSocketChannel channel, CompletableFuture<PeerConnection> target) {
        if (target.completeExceptionally(new PeerLostException("no connection in time", false))) {
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

    /** Tries a fresh connection where the present one is silent. Requests that wait on the old one stay there. */
    private void replaceSuspects(long nowMs) {
        for (Map.Entry<InetSocketAddress, CompletableFuture<PeerConnection>> entry : outgoing.entrySet()) {
            CompletableFuture<PeerConnection> known = entry.getValue();
            if (!known.isDone()
                    || known.isCompletedExceptionally()
                    || !known.join().isSuspect(nowMs)) {
                continue;
            }
            CompletableFuture<PeerConnection> fresh = new CompletableFuture<>();
            if (outgoing.replace(entry.getKey(), known, fresh)) {
                Logger.warn("peer-silent peer={}", known.join().getPeerInstance());
                known.join().retire();
                open(entry.getKey(), fresh);
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
        replaceSuspects(nowMs);
        for (PeerConnection connection : connections) {
            connection.tick(nowMs);
            if (connection.isClosed()) {
                connections.remove(connection);
            }
        }
    }

    /** Continues after each accepted connection. */
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

    /** Continues after an outgoing connection was opened or not. */
    private final class ConnectHandler implements CompletionHandler<Void, Void> {

        private final AsynchronousSocketChannel channel;
        private final CompletableFuture<PeerConnection> target;

        ConnectHandler(AsynchronousSocketChannel channel, CompletableFuture<PeerConnection> target) {
            this.channel = channel;
            this.target = target;
        }

        @Override
        public void completed(Void nothing, Void unused) {
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
