package io.cranberryarch.node.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Closer;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.settings.Priority;
import io.cranberryarch.wire.AnswerMessage;
import io.cranberryarch.wire.CallMessage;
import io.cranberryarch.wire.CancelMessage;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.HelloMessage;
import io.cranberryarch.wire.Message;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerConnectionTest {

    private static final String SECRET = "a-secret-for-the-tests";
    private static final int MAX_DELAY_MS = 50;

    private final Closer closer = new Closer();
    private final Map<Long, CompletableFuture<CallResult>> received = new ConcurrentHashMap<>();
    private ScheduledThreadPoolExecutor timer;
    private PeerNetwork client;
    private PeerNetwork server;
    private FaultyLink link;

    @BeforeEach
    void start() throws Exception {
        timer = new ScheduledThreadPoolExecutor(1);
        closer.add(timer::shutdownNow);
        server = open("server", SECRET);
        client = open("client", SECRET);
        link = closer.add(new FaultyLink(server.getPort()));
    }

    @AfterEach
    void stop() throws Exception {
        closer.close();
    }

    @Test
    void silentConnectionIsReplacedAndItsPendingRequestsFailAsSent() throws Exception {
        PeerConnection old = client.connect(link.getAddress()).get();
        Message call = toCall("hold", new byte[1]);
        CompletableFuture<Message> pending = old.request(call).response();
        FleetFixture.await(() -> received.containsKey(1L));
        link.silence();
        FleetFixture.await(() -> link.getConnectionCount() == 2);
        PeerConnection replacement = client.connect(link.getAddress()).get();
        assertNotSame(old, replacement);
        assertArrayEquals(new byte[5], echo(replacement, new byte[5]).get());
        ExecutionException failure = assertThrows(ExecutionException.class, () -> pending.get(10, TimeUnit.SECONDS));
        assertTrue(assertInstanceOf(PeerLostException.class, failure.getCause()).isSent());
        FleetFixture.await(() -> received.get(1L).isCancelled());
    }

    @Test
    void largeResponsesOutOfOrderAreMatchedToTheirRequests() throws Exception {
        PeerConnection connection = client.connect(link.getAddress()).get();
        Random random = new Random(1);
        List<byte[]> bodies = new ArrayList<>();
        List<CompletableFuture<byte[]>> responses = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            byte[] body = new byte[random.nextInt(i % 10 == 0 ? 1_000_000 : 10_000)];
            random.nextBytes(body);
            bodies.add(body);
            responses.add(echo(connection, body));
        }
        for (int i = 0; i < responses.size(); i++) {
            assertArrayEquals(bodies.get(i), responses.get(i).get(15, TimeUnit.SECONDS));
        }
    }

    @Test
    void cancelIsForwardedToThePeerAndLateResponsesAreIgnored() throws Exception {
        PeerConnection connection = client.connect(link.getAddress()).get();
        PeerConnection.PendingRequest cancelled = connection.request(toCall("hold", new byte[1]));
        FleetFixture.await(() -> received.containsKey(cancelled.id()));
        connection.removeRequest(cancelled.id());
        connection.send(cancelled.id(), new CancelMessage());
        FleetFixture.await(() -> received.get(cancelled.id()).isCancelled());
        PeerConnection.PendingRequest late = connection.request(toCall("hold", new byte[1]));
        FleetFixture.await(() -> received.containsKey(late.id()));
        connection.removeRequest(late.id());
        received.get(late.id()).complete(toResult(new byte[7]));
        assertArrayEquals(new byte[5], echo(connection, new byte[5]).get(), "response to a different request");
        assertFalse(late.response().isDone());
    }

    @Test
    void requestsAfterGoAwayAreNotSentAndEarlierOnesAreAnswered() throws Exception {
        PeerConnection connection = client.connect(link.getAddress()).get();
        PeerConnection.PendingRequest early = connection.request(toCall("hold", new byte[1]));
        FleetFixture.await(() -> received.containsKey(early.id()));
        server.sendGoAway();
        PeerConnection.PendingRequest late = connection.request(toCall("hold", new byte[1]));
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> late.response().get(10, TimeUnit.SECONDS));
        assertFalse(
                assertInstanceOf(PeerLostException.class, failure.getCause()).isSent());
        assertFalse(received.containsKey(late.id()));
        received.get(early.id()).complete(toResult(new byte[3]));
        FleetFixture.await(server::isIdle);
        server.shutdownOutput();
        assertEquals(3, ((AnswerMessage) early.response().get()).result().body().length);
        FleetFixture.await(() -> !client.hasConnections());
    }

    @Test
    void wrongSecretAndOldVersionAreRejected() throws Exception {
        PeerNetwork unauthenticated = open("stranger", "another-secret-for-the-tests");
        assertThrows(
                ExecutionException.class,
                () -> unauthenticated.connect(toAddress(server)).get());
        HelloMessage old = new HelloMessage(FrameCodec.PROTOCOL_VERSION + 1, "old", 1, new byte[16]);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.getPort())) {
            socket.getOutputStream().write(FrameCodec.encode(new Frame(0, old)).array());
            byte[] hello = socket.getInputStream().readAllBytes();
            assertEquals(hello.length, FrameCodec.LENGTH_PREFIX_BYTES + hello[3], "no frame follows the hello");
        }
        FleetFixture.await(() -> !server.hasConnections());
    }

    private PeerNetwork open(String name, String secret) throws Exception {
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(Executors.newFixedThreadPool(2));
        closer.add(group::shutdownNow);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NodeIdentity identity = new NodeIdentity(name, 1, "zone-a", "orders");
        PeerNetwork network = closer.add(new PeerNetwork(identity, secret, Clock.system(), group, any));
        network.start(this::onFrame, timer);
        return network;
    }

    private void onFrame(PeerConnection connection, Frame frame) {
        CallRequest call = ((CallMessage) frame.message()).request();
        CompletableFuture<CallResult> response = new CompletableFuture<>();
        if (call.target().equals("hold")) {
            received.put(frame.id(), response);
        } else {
            long delayMs = Math.floorMod(frame.id() * 7, (long) MAX_DELAY_MS);
            timer.schedule(() -> response.complete(toResult(call.body())), delayMs, TimeUnit.MILLISECONDS);
        }
        connection.serve(frame.id(), response, AnswerMessage::new);
    }

    private static CompletableFuture<byte[]> echo(PeerConnection connection, byte[] body) {
        return connection
                .request(toCall("echo", body))
                .response()
                .thenApply(message -> ((AnswerMessage) message).result().body());
    }

    private static CallMessage toCall(String target, byte[] body) {
        RequestContext context = new RequestContext("1", "acme", "order", Priority.NORMAL, true, Optional.empty(), 0);
        return new CallMessage(new CallRequest(context, "orders", 1_000, 0, "POST", target, List.of(), body));
    }

    private static CallResult toResult(byte[] body) {
        return new CallResult(200, List.of(), body, Optional.empty(), 0, Optional.empty());
    }

    private static InetSocketAddress toAddress(PeerNetwork network) throws Exception {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), network.getPort());
    }
}
