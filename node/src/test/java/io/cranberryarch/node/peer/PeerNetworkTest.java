package io.cranberryarch.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.node.FleetFixture;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
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
            HttpRequest request = HttpRequest.newBuilder(URI.create(fleet.toEntry(1) + "/open/1"))
                    .build();
            HttpResponse<String> answer =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertEquals(200, answer.statusCode());
        }
    }

    private static void assertClosedAfter(FleetFixture fleet, byte[] bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fleet.getNode(0).getPeerPort())) {
            socket.getOutputStream().write(bytes);
            while (socket.getInputStream().read() >= 0) {
                // The hello of the node comes first; the end of the stream follows.
            }
        }
    }
}
