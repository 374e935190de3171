package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.TcpConnection;
import io.cranberryarch.wire.CancelMessage;
import io.cranberryarch.wire.ForwardAnswerMessage;
import io.cranberryarch.wire.ForwardMessage;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.MalformedFrameException;
import io.cranberryarch.wire.Message;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** A connection to another node, with the requests in progress on it in both directions. */
final class PeerLink implements TcpConnection.Handler {

    private static final int INITIAL_BUFFER_BYTES = 4 * 1024;

    /** Maximum number of bytes queued for a peer that does not read, before the peer counts as unusable. */
    private static final long MAX_UNSENT_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final PeerService service;
    private final boolean isDialer;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Runnable> serving = new HashMap<>();
    private TcpConnection connection;
    private ByteBuffer received = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private Optional<Peer> peer = Optional.empty();
    private long incarnation;
    private long nextId = 1;
    private long lastReceivedAtMs;
    private boolean isSilent;
    private boolean isConnected;

    private PeerLink(EventLoop loop, PeerService service, boolean isDialer) {
        this.loop = loop;
        this.service = service;
        this.isDialer = isDialer;
        this.lastReceivedAtMs = loop.nowMs();
    }

    static PeerLink dial(EventLoop loop, PeerService service, Peer peer) {
        PeerLink link = new PeerLink(loop, service, true);
        link.peer = Optional.of(peer);
        link.connection = TcpConnection.connect(loop, PeerService.toAddress(peer.getInfo()), link);
        return link;
    }

    static PeerLink accept(EventLoop loop, PeerService service, TcpConnection connection) {
        PeerLink link = new PeerLink(loop, service, false);
        link.connection = connection;
        link.isConnected = true;
        return link;
    }

    boolean isDialer() {
        return isDialer;
    }

    boolean isConnected() {
        return isConnected;
    }

    /** Returns whether new requests may be sent: the peer is not silent and reads what is sent. */
    boolean isUsable() {
        return !isSilent && !connection.isClosed() && connection.getUnsentBytes() < MAX_UNSENT_BYTES;
    }

    boolean isClosed() {
        return connection.isClosed();
    }

    boolean hasRequestsInProgress() {
        return !pending.isEmpty() || !serving.isEmpty();
    }

    boolean isAwaitingResponses() {
        return !pending.isEmpty();
    }

    long getSilentMs() {
        return loop.nowMs() - lastReceivedAtMs;
    }

    Optional<Peer> getPeer() {
        return peer;
    }

    void setPeer(Peer newPeer) {
        peer = Optional.of(newPeer);
    }

    long getIncarnation() {
        return incarnation;
    }

    void setIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
    }

    void send(Message message) {
        send(0, message);
    }

    /** Forwards a request and returns an action that cancels it. */
    Runnable forward(ForwardedRequest request, boolean isRepeatable, Consumer<ForwardedAnswer> callback) {
        long id = nextId++;
        pending.put(id, new Pending(isRepeatable, callback));
        send(
                id,
                new ForwardMessage(
                        request.withHeaders(service.getCompactHeaders().shorten(request.headers()))));
        return () -> {
            if (pending.remove(id) != null) {
                send(id, new CancelMessage());
            }
        };
    }

    /** Fails the repeatable requests sent to a silent peer; responses to the others may still arrive. */
    void onSilent() {
        isSilent = true;
        List<Long> repeatable = new ArrayList<>();
        pending.forEach((id, request) -> {
            if (request.isRepeatable) {
                repeatable.add(id);
            }
        });
        for (long id : repeatable) {
            Pending request = pending.remove(id);
            send(id, new CancelMessage());
            request.callback.accept(ForwardedAnswer.ofFailure(Execution.UNKNOWN, "peer-silent"));
        }
    }

    void close() {
        connection.close();
    }

    @Override
    public void onConnected() {
        isConnected = true;
        lastReceivedAtMs = loop.nowMs();
        service.onLinkUp(this);
    }

    @Override
    public void onData(ByteBuffer bytes) {
        lastReceivedAtMs = loop.nowMs();
        if (isSilent) {
            isSilent = false;
            service.onPeerRegained(this);
        }
        append(bytes);
        received.flip();
        try {
            for (Optional<Frame> frame = FrameCodec.decode(received);
                    frame.isPresent() && !connection.isClosed();
                    frame = FrameCodec.decode(received)) {
                onFrame(frame.get());
            }
        } catch (MalformedFrameException e) {
            Logger.warn("event=peer-frame-malformed cause=\"{}\"", e.getMessage());
            connection.close();
        }
        received.compact();
    }

    @Override
    public void onClosed(Optional<IOException> failure) {
        List<Pending> lost = new ArrayList<>(pending.values());
        pending.clear();
        List<Runnable> abandoned = new ArrayList<>(serving.values());
        serving.clear();
        service.onLinkDown(this, failure.map(IOException::getMessage).orElse("closed"));
        for (Runnable cancel : abandoned) {
            cancel.run();
        }
        Execution execution = isConnected ? Execution.UNKNOWN : Execution.NOT_RUN;
        for (Pending request : lost) {
            request.callback.accept(ForwardedAnswer.ofFailure(execution, "peer-lost"));
        }
    }

    private void append(ByteBuffer bytes) {
        if (received.remaining() < bytes.remaining()) {
            int needed = received.position() + bytes.remaining();
            ByteBuffer larger = ByteBuffer.allocate(Math.max(needed, received.capacity() * 2));
            received = larger.put(received.flip());
        }
        received.put(bytes);
    }

    private void onFrame(Frame frame) {
        switch (frame.message().getType()) {
            case FORWARD -> serve(frame.id(), ((ForwardMessage) frame.message()).request());
            case FORWARD_ANSWER -> {
                Pending request = pending.remove(frame.id());
                if (request != null) {
                    ForwardedAnswer answer = ((ForwardAnswerMessage) frame.message()).answer();
                    request.callback.accept(
                            answer.withHeaders(service.getCompactHeaders().expand(answer.headers())));
                }
            }
            case CANCEL -> {
                Runnable cancel = serving.remove(frame.id());
                if (cancel != null) {
                    cancel.run();
                }
            }
            default -> service.onMessage(this, frame.message());
        }
    }

    private void serve(long id, ForwardedRequest compact) {
        ForwardedRequest request =
                compact.withHeaders(service.getCompactHeaders().expand(compact.headers()));
        serving.put(id, () -> {});
        Runnable cancel = service.getGate().handle(request, answer -> {
            if (serving.remove(id) != null) {
                send(
                        id,
                        new ForwardAnswerMessage(
                                answer.withHeaders(service.getCompactHeaders().shorten(answer.headers()))));
            }
        });
        serving.replace(id, cancel);
    }

    /** Sends the same message on several connections. */
    static void sendToAll(Collection<PeerLink> links, Message message) {
        ByteBuffer frame;
        try {
            frame = FrameCodec.encode(new Frame(0, message));
        } catch (IOException e) {
            Logger.error(e, "event=peer-frame-too-large type={}", message.getType());
            return;
        }
        for (PeerLink link : links) {
            link.connection.write(frame.duplicate());
        }
    }

    private void send(long id, Message message) {
        try {
            connection.write(FrameCodec.encode(new Frame(id, message)));
        } catch (IOException e) {
            Logger.error(e, "event=peer-frame-too-large type={}", message.getType());
            connection.close();
        }
    }

    /** A forwarded request that waits for its outcome. */
    private record Pending(boolean isRepeatable, Consumer<ForwardedAnswer> callback) {}
}
