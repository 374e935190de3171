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
 * One authenticated connection to a peer, on which many requests wait for their answers at once.
 *
 * <p>Thread-safe. A frame that cannot be read closes this connection and no other.
 */
public final class PeerConnection implements AutoCloseable {

    /** The longest time for a handshake, in milliseconds. */
    static final long HANDSHAKE_TIMEOUT_MS = 2_000;
    /** The silence after which a ping is sent, in milliseconds. */
    static final long PING_AFTER_MS = 500;
    /** The silence after which new requests go over a fresh connection, in milliseconds. */
    static final long SUSPECT_AFTER_MS = 1_000;
    /** The silence after which a connection is closed, in milliseconds. */
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
    private final Map<Long, CompletableFuture<?>> served = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong(1);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final long openedAtMs;
    private volatile long heardAtMs;
    private volatile long peerAcceptsUpTo = Long.MAX_VALUE;
    private volatile boolean retired;
    private long acceptsUpTo = Long.MAX_VALUE;
    private long lastReceivedId;

    PeerConnection(AsynchronousSocketChannel channel, Handshake handshake, PeerHandler handler, Clock clock) {
        this.channel = channel;
        this.handshake = handshake;
        this.handler = handler;
        this.clock = clock;
        this.writer = new FrameWriter(channel, this::onFailure, () -> heardAtMs = clock.monotonicMs());
        this.reader = new FrameReader(channel, new Frames(), this::onFailure);
        this.openedAtMs = clock.monotonicMs();
        this.heardAtMs = openedAtMs;
    }

    void start() {
        send(0, handshake.getOwnHello());
        reader.read();
    }

    /**
     * Gets the moment when the peer has proved itself.
     *
     * @return completes with this connection, or fails if the connection was closed before
     */
    public CompletableFuture<PeerConnection> whenReady() {
        return ready;
    }

    /**
     * Checks whether the connection can be used.
     *
     * @return whether the peer has proved itself and takes new requests on this connection
     */
    public boolean isOpen() {
        return ready.isDone()
                && !ready.isCompletedExceptionally()
                && !closed.get()
                && !retired
                && peerAcceptsUpTo == Long.MAX_VALUE;
    }

    /**
     * Gets the name of the peer.
     *
     * @return the instance that the peer proved to be part of the fleet, "unknown" before
     */
    public String getPeerInstance() {
        HelloMessage hello = handshake.getPeerHello();
        return hello == null ? "unknown" : hello.instance();
    }

    /**
     * Gets the incarnation of the peer's process.
     *
     * @return the incarnation, 0 before the peer has introduced itself
     */
    public long getPeerIncarnation() {
        HelloMessage hello = handshake.getPeerHello();
        return hello == null ? 0 : hello.incarnation();
    }

    /**
     * Sends a request.
     *
     * @param message the request, not {@code null}
     * @return the number of the request and its answer, which fails with {@link PeerLostException}
     */
    public PendingRequest request(Message message) {
        long id = nextId.getAndIncrement();
        CompletableFuture<Message> answer = new CompletableFuture<>();
        if (!isOpen()) {
            answer.completeExceptionally(new PeerLostException("the connection is closed", false));
            return new PendingRequest(id, answer);
        }
        pending.add(id, answer);
        if (!trySend(id, message)) {
            pending.fail(id, "too many bytes wait for the peer", false);
        }
        if (closed.get()) {
            pending.fail(id, "the connection was closed", true);
        }
        if (id > peerAcceptsUpTo) {
            pending.fail(id, "the peer is leaving", false);
        }
        return new PendingRequest(id, answer);
    }

    /**
     * Drops a request. A late answer to it is ignored.
     *
     * @param id the number of the request
     */
    public void removeRequest(long id) {
        pending.remove(id);
    }

    /**
     * Answers a request of the peer, unless the peer gives it up or is lost before: then the answer is cancelled.
     *
     * @param <T> the type of the answer
     * @param id the number of the request
     * @param answer the answer, which does not fail
     * @param toMessage converts the answer to a message
     */
    public <T> void serve(long id, CompletableFuture<T> answer, Function<T, Message> toMessage) {
        served.put(id, answer);
        answer.whenComplete((result, failure) -> {
            served.remove(id, answer);
            if (failure == null) {
                send(id, toMessage.apply(result));
            }
        });
        if (closed.get()) {
            answer.cancel(false);
        }
    }

    /**
     * Sends a message.
     *
     * @param id the number of the request that it belongs to, 0 for none
     * @param message the message, not {@code null}
     */
    public void send(long id, Message message) {
        if (!trySend(id, message)) {
            close("the peer does not read");
        }
    }

    /**
     * Keeps the connection alive, or closes it after silence.
     *
     * @param nowMs monotonic time in milliseconds
     */
    void tick(long nowMs) {
        long silenceMs = nowMs - heardAtMs;
        if (!ready.isDone()) {
            if (nowMs - openedAtMs > HANDSHAKE_TIMEOUT_MS) {
                close("the handshake took too long");
            }
        } else if (retired && pending.isEmpty()) {
            close("replaced by a fresh connection");
        } else if (silenceMs > SILENCE_TIMEOUT_MS) {
            close("the peer was silent for " + silenceMs + " ms");
        } else if (silenceMs > PING_AFTER_MS) {
            send(0, new PingMessage(false));
        }
    }

    /** Checks whether the peer was silent for so long that a fresh connection should be tried. */
    boolean isSuspect(long nowMs) {
        return isOpen() && nowMs - heardAtMs > SUSPECT_AFTER_MS;
    }

    /** Takes no new requests of this node any more, and closes when those that wait are answered. */
    void retire() {
        retired = true;
    }

    /** Tells the peer that requests after those received so far are not handled. */
    void sendGoAway() {
        long lastId;
        synchronized (this) {
            acceptsUpTo = lastReceivedId;
            lastId = lastReceivedId;
        }
        send(0, new GoAwayMessage(lastId));
    }

    /** Checks whether nothing waits to be written. */
    boolean isIdle() {
        return closed.get() || writer.isIdle();
    }

    /** Ends the stream to the peer, which then closes the connection. */
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
        served.values().forEach(answer -> answer.cancel(false));
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
            default -> onAuthenticated(frame);
        }
    }

    private void onAuthenticated(Frame frame) throws MalformedFrameException {
        if (!ready.isDone()) {
            throw new MalformedFrameException(frame.message().getType() + " before the proof");
        }
        switch (frame.message().getType()) {
            case PING -> send(0, new PingMessage(true));
            case PONG -> {
                // The time of the last sign of life was noted already.
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
        if (id > acceptsUpTo) {
            return false;
        }
        lastReceivedId = Math.max(lastReceivedId, id);
        return true;
    }

    private void onGoAway(GoAwayMessage message) {
        peerAcceptsUpTo = message.lastRequestId();
        pending.failAfter(message.lastRequestId(), "the peer is leaving", false);
    }

    private void onCancel(long id) {
        CompletableFuture<?> answer = served.get(id);
        if (answer != null) {
            answer.cancel(false);
        }
    }

    /**
     * A request that waits for its answer.
     *
     * @param id the number of the request
     * @param response the response
     */
    public record PendingRequest(long id, CompletableFuture<Message> response) {}

    /** Takes what the peer sends. */
    private final class Frames implements FrameReader.Listener {

        @Override
        public void onBytes() {
            heardAtMs = clock.monotonicMs();
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
        public boolean isProved() {
            return ready.isDone();
        }
    }
}
