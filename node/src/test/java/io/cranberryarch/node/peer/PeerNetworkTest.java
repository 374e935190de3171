package io.cranberryarch.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cranberryarch.base.Clock;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.node.NodeIdentity;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {

    @Test
    void malformedFrameClosesOnlyItsOwnConnection() throws Exception {
        try (FleetFixture fleet = new FleetFixture()) {
            fleet.add("orders1", "zone-a", "orders", 10);
            fleet.add("history1", "zone-b", "history", 10);
            fleet.awaitReady();
            assertClosedAfter(fleet, ByteBuffer.allocate(8).putInt(4).putInt(-1).array());
            assertClosedAfter(
                    fleet, ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array());
            HttpRequest request = HttpRequest.newBuilder(URI.create(fleet.getEntryUri(1) + "/open/1"))
                    .build();
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
        }
    }

    @Test
    void connectionThatCannotBeOpenedFailsAsNotSent() throws Exception {
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(Executors.newSingleThreadExecutor());
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        NodeIdentity identity = new NodeIdentity("a", 1, "zone-a", "orders");
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (PeerNetwork network = new PeerNetwork(identity, "secret", Clock.system(), group, any)) {
            network.start((connection, frame) -> {}, timer);
            assertNotSent(network.connect(InetSocketAddress.createUnresolved("no.such.host", 1)));
            // The timer of a stopping node rejects tasks.
            timer.shutdownNow();
            assertNotSent(network.connect(new InetSocketAddress(any.getAddress(), network.getPort())));
        } finally {
            group.shutdownNow();
        }
    }

    private static void assertNotSent(CompletableFuture<PeerConnection> connection) {
        CompletionException failure = assertThrows(CompletionException.class, connection::join);
        assertFalse(((PeerLostException) failure.getCause()).isSent());
    }

    private static void assertClosedAfter(FleetFixture fleet, byte[] bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fleet.getNode(0).getPeerPort())) {
            socket.getOutputStream().write(bytes);
            while (socket.getInputStream().read() >= 0) {
                // The node sends its hello, then the end of the stream.
            }
        }
    }
}
