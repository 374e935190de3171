package io.cranberryarch.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.settings.NodeConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

class NodeHttpServerTest {

    private static final int ROUNDS = 10;
    private static final int CONNECTIONS = 40;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Connections that wait in the accept backlog may already carry requests, which must not be lost on a stop. */
    @Test
    void requestsOnBacklogConnectionsAreAnsweredAfterStop() throws Exception {
        int responses = 0;
        for (int i = 0; i < ROUNDS; i++) {
            responses += countResponsesAroundStop();
        }
        assertEquals(ROUNDS * CONNECTIONS, responses);
    }

    private static int countResponsesAroundStop() throws Exception {
        List<SocketChannel> callers = new ArrayList<>();
        try (NodeHttpServer server =
                new NodeHttpServer(toConfig(), new OkHandler(), new OkHandler(), new OkHandler())) {
            server.start();
            InetSocketAddress entry = new InetSocketAddress("127.0.0.1", server.getEntryPort());
            for (int i = 0; i < CONNECTIONS; i++) {
                SocketChannel caller = SocketChannel.open(entry);
                caller.write(ByteBuffer.wrap(REQUEST));
                callers.add(caller);
            }
            server.stopAccepting();
            FleetFixture.await(() -> !server.isAwaitingRequests() && server.getInProgress() == 0);
        }
        int responses = 0;
        for (SocketChannel caller : callers) {
            try (caller) {
                responses += readStatusLine(caller).startsWith("HTTP/1.1 200") ? 1 : 0;
            }
        }
        return responses;
    }

    private static String readStatusLine(SocketChannel caller) {
        ByteBuffer bytes = ByteBuffer.allocate(1_024);
        try {
            caller.read(bytes);
        } catch (IOException e) {
            return "connection lost: " + e.getMessage();
        }
        return new String(bytes.array(), 0, bytes.position(), StandardCharsets.US_ASCII);
    }

    private static NodeConfig toConfig() throws Exception {
        return new NodeConfig(
                "a",
                "zone-a",
                "orders",
                1,
                "127.0.0.1",
                0,
                0,
                0,
                0,
                URI.create("http://127.0.0.1:1"),
                1_000,
                URI.create("http://127.0.0.1:1"),
                "secret",
                List.of("zone-a"),
                List.of(),
                Optional.empty(),
                1_024,
                "warn");
    }

    /** Answers every request. */
    private static final class OkHandler extends Handler.Abstract.NonBlocking {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            response.setStatus(200);
            callback.succeeded();
            return true;
        }
    }
}
