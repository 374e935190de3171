package io.cranberryarch.node.peer;

import io.cranberryarch.base.Clock;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.GoAwayMessage;
import io.cranberryarch.wire.HelloMessage;
import io.cranberryarch.wire.MalformedFrameException;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.PingMessage;
import io.cranberryarch.wire.ProofMessage;
import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * An authenticated connection to a peer, on which multiple requests can be pending concurrently.
 *
 * <p>Thread-safe. A malformed frame closes this connection only.
 */
public final class PeerConnection implements AutoCloseable {

    /** The maximum duration of a handshake in milliseconds. */
    static final long HANDSHAKE_TIMEOUT_MS = 2_000;
    /** The time without activity of the peer after which pings are sent, in milliseconds. */
    static final long PING_AFTER_MS = 500;
    /** The time without activity of the peer after which new requests use a new connection, in milliseconds. */
    static final long SUSPECT_AFTER_MS = 1_000;
    /** The time without activity of the peer after which a connection is closed, in milliseconds. */
    static final long SILENCE_TIMEOUT_MS = 2_000;

    private static final String CLOSED_BY_SELF = "closed by this node";

    private final AsynchronousSocketChannel channel;
    private final Handshake handshake;
    private final PeerHandler handler;
    private final Clock clock;
    private final FrameWriter writer;
    private final FrameReader reader;
    private final CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
    private final PendingRequests pending = new PendingRequests();
    private final Map<Long, CompletableFuture<?>> servedRequests = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong(1);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final long openedAtMs;
    private volatile long lastActivityAtMs;
    private volatile long peerMaxAcceptedId = Long.MAX_VALUE;
    private volatile boolean isRetired;
    private long maxAcceptedId = Long.MAX_VALUE;
    private long lastReceivedId;

    PeerConnection(AsynchronousSocketChannel channel, Handshake handshake, PeerHandler handler, Clock clock) {
        this.channel = channel;
        this.handshake = handshake;
        this.handler = handler;
        this.clock = clock;
        this.writer = new FrameWriter(channel, this::onFailure, () -> lastActivityAtMs = clock.monotonicMs());
        this.reader = new FrameReader(channel, new FrameListener(), this::onFailure);
        this.openedAtMs = clock.monotonicMs();
        this.lastActivityAtMs = openedAtMs;
    }

    void start() {
        send(0, handshake.getOwnHello());
        reader.read();
    }

    /**
     * Gets a future that completes when the peer is authenticated.
     *
     * @return the future, completed with this connection, or exceptionally if the connection is closed before
     */
    public CompletableFuture<PeerConnection> whenReady() {
        return ready;
    }

    /**
     * Checks whether the connection can be used for new requests.
     *
     * @return whether the peer is authenticated and accepts new requests on this connection
     */
    public boolean isOpen() {
        return ready.isDone()
                && !ready.isCompletedExceptionally()
                && !closed.get()
                && !isRetired
                && peerMaxAcceptedId == Long.MAX_VALUE;
    }

    /**
     * Gets the instance name of the peer.
     *
     * @return the instance name, authenticated once {@link #whenReady} completes; "unknown" before the peer's hello
     */
    public String getPeerInstance() {
        HelloMessage hello = handshake.getPeerHello();
        return hello == null ? "unknown" : hello.instance();
    }

    /**
     * Gets the incarnation of the peer's process.
     *
     * @return the incarnation, 0 before the peer's hello
     */
    public long getPeerIncarnation() {
        HelloMessage hello = handshake.getPeerHello();
        return hello == null ? 0 : hello.incarnation();
    }

    /**
     * Sends a request.
     *
     * @param message the request, not {@code null}
     * @return the identifier of the request and its response, which fails with {@link PeerLostException}
     */
    public PendingRequest request(Message message) {
        long id = nextId.getAndIncrement();
        CompletableFuture<Message> response = new CompletableFuture<>();
        if (!isOpen()) {
            response.completeExceptionally(new PeerLostException("the connection is closed", false));
            return new PendingRequest(id, response);
        }
        pending.add(id, response);
        if (!trySend(id, message)) {
            pending.fail(id, "too many bytes are queued for the peer", false);
        }
        if (closed.get()) {
            pending.fail(id, "the connection was closed", true);
        }
        if (id > peerMaxAcceptedId) {
            pending.fail(id, "the peer is leaving", false);
        }
        return new PendingRequest(id, response);
    }

    /**
     * Removes a pending request. A late response to it is ignored.
     *
     * @param id the identifier of the request
     */
    public void removeRequest(long id) {
        pending.remove(id);
    }

    /**
     * Sends the response to a request of the peer when it is complete. The response is cancelled if the peer cancels
     * the request or the connection is closed before.
     *
     * @param <T> the type of the response
     * @param id the identifier of the request
     * @param response the response, which does not fail
     * @param toMessage converts the response to a message
     */
    public <T> void serve(long id, CompletableFuture<T> response, Function<T, Message> toMessage) {
        servedRequests.put(id, response);
        response.whenComplete((result, failure) -> {
            servedRequests.remove(id, response);
            if (failure == null) {
                send(id, toMessage.apply(result));
            }
        });
        if (closed.get()) {
            response.cancel(false);
        }
    }

    /**
     * Sends a message.
     *
     * @param id the identifier of the request that the message belongs to, 0 for none
     * @param message the message, not {@code null}
     */
    public void send(long id, Message message) {
        if (!trySend(id, message)) {
            close("failed to send a message: write queue full or encoding failed");
        }
    }

    /**
     * Sends a ping if the peer is silent, or closes the connection after a timeout.
     *
     * @param nowMs the monotonic time in milliseconds
     */
    void tick(long nowMs) {
        long silenceMs = nowMs - lastActivityAtMs;
        if (!ready.isDone()) {
            if (nowMs - openedAtMs > HANDSHAKE_TIMEOUT_MS) {
                close("handshake timed out");
            }
        } else if (isRetired && pending.isEmpty()) {
            close("replaced by a new connection");
        } else if (silenceMs > SILENCE_TIMEOUT_MS) {
            close("the peer was silent for " + silenceMs + " ms");
        } else if (silenceMs > PING_AFTER_MS) {
            send(0, new PingMessage(false));
        }
    }

    /** Checks whether the peer has been silent for so long that a new connection should be opened. */
    boolean isSuspect(long nowMs) {
        return isOpen() && nowMs - lastActivityAtMs > SUSPECT_AFTER_MS;
    }

    /** Excludes the connection from new requests of this node. It is closed when no request is pending. */
    void retire() {
        isRetired = true;
    }

    /** Notifies the peer that requests after those received so far will not be handled. */
    void sendGoAway() {
        long lastId;
        synchronized (this) {
            maxAcceptedId = lastReceivedId;
            lastId = lastReceivedId;
        }
        send(0, new GoAwayMessage(lastId));
    }

    /** Checks whether no message waits to be written. */
    boolean isIdle() {
        return closed.get() || writer.isIdle();
    }

    /** Shuts down the output stream, upon which the peer closes the connection. */
    void shutdownOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            onFailure(e);
        }
    }

    @Override
    public void close() {
        close(CLOSED_BY_SELF);
    }

    boolean isClosed() {
        return closed.get();
    }

    private void close(String reason) {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        if (ready.isDone()) {
            Logger.debug("peer-closed peer={} reason=\"{}\"", getPeerInstance(), reason);
        } else if (!reason.equals(CLOSED_BY_SELF)) {
            Logger.warn("peer-handshake-failed peer={} reason=\"{}\"", getPeerInstance(), reason);
        }
        try {
            channel.close();
        } catch (IOException e) {
            Logger.debug("peer-close-failed reason=\"{}\"", e.getMessage());
        }
        ready.completeExceptionally(new PeerLostException(reason, false));
        servedRequests.values().forEach(response -> response.cancel(false));
        pending.failAfter(0, reason, true);
    }

    private boolean trySend(long id, Message message) {
        try {
            return writer.write(FrameCodec.encode(new Frame(id, message)));
        } catch (IOException e) {
            Logger.warn("frame-not-sent peer={} reason=\"{}\"", getPeerInstance(), e.getMessage());
            return false;
        }
    }

    private void onFailure(Throwable failure) {
        if (failure instanceof MalformedFrameException) {
            Logger.warn("frame-malformed peer={} reason=\"{}\"", getPeerInstance(), failure.getMessage());
        }
        close(String.valueOf(failure.getMessage()));
    }

    private void onFrame(Frame frame) throws MalformedFrameException {
        Message message = frame.message();
        switch (message.getType()) {
            case HELLO -> send(0, handshake.onHello((HelloMessage) message));
            case PROOF -> {
                handshake.onProof((ProofMessage) message);
                ready.complete(this);
            }
            default -> onAuthenticatedFrame(frame);
        }
    }

    private void onAuthenticatedFrame(Frame frame) throws MalformedFrameException {
        if (!ready.isDone()) {
            throw new MalformedFrameException(frame.message().getType() + " before authentication");
        }
        switch (frame.message().getType()) {
            case PING -> send(0, new PingMessage(true));
            case PONG -> {
                // The time of the last receipt is already recorded.
            }
            case CANCEL -> onCancel(frame.id());
            case GO_AWAY -> onGoAway((GoAwayMessage) frame.message());
            case ANSWER, GOSSIP_ANSWER, PROBE_ANSWER, SETTINGS_PUSH, TOKEN_ANSWER ->
                pending.complete(frame.id(), frame.message());
            default -> {
                if (accept(frame.id())) {
                    handler.onFrame(this, frame);
                }
            }
        }
    }

    private synchronized boolean accept(long id) {
        if (id > maxAcceptedId) {
            return false;
        }
        lastReceivedId = Math.max(lastReceivedId, id);
        return true;
    }

    private void onGoAway(GoAwayMessage message) {
        peerMaxAcceptedId = message.lastRequestId();
        pending.failAfter(message.lastRequestId(), "the peer is leaving", false);
    }

    private void onCancel(long id) {
        CompletableFuture<?> response = servedRequests.get(id);
        if (response != null) {
            response.cancel(false);
        }
    }

    /**
     * A request that waits for its response.
     *
     * @param id the identifier of the request
     * @param response the response
     */
    public record PendingRequest(long id, CompletableFuture<Message> response) {}

    /** Handles the frames that the peer sends. */
    private final class FrameListener implements FrameReader.Listener {

        @Override
        public void onBytesRead() {
            lastActivityAtMs = clock.monotonicMs();
        }

        @Override
        public void onFrame(Frame frame) throws MalformedFrameException {
            PeerConnection.this.onFrame(frame);
        }

        @Override
        public void onEnd() {
            close("the peer closed the connection");
        }

        @Override
        public boolean isAuthenticated() {
            return ready.isDone();
        }
    }
}
