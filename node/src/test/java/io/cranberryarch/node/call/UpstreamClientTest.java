package io.cranberryarch.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.base.Closer;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.settings.Priority;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamClientTest {

    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    private static final int ACCEPT_TIMEOUT_MS = 15_000;

    private final Closer closer = new Closer();
    private HttpClient http;
    private ServerSocket upstream;

    @BeforeEach
    void start() throws Exception {
        http = new HttpClient();
        closer.add(http::stop);
        http.start();
        upstream = closer.add(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()));
        upstream.setSoTimeout(ACCEPT_TIMEOUT_MS);
    }

    @AfterEach
    void stop() throws Exception {
        closer.close();
    }

    @Test
    void completeResponsesAreForwarded() throws Exception {
        assertEquals("whole", toText(respondWith(RESPONSE_HEAD + "Content-Length: 5\r\n\r\nwhole")));
        assertEquals(
                "whole",
                toText(respondWith(RESPONSE_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")));
        assertEquals(
                204,
                respondWith("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
                        .status());
    }

    @Test
    void possiblyTruncatedResponsesAreErrors() throws Exception {
        assertUnknown(respondWith(RESPONSE_HEAD + "Content-Length: 9\r\n\r\ncut"));
        assertUnknown(respondWith(RESPONSE_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"));
        assertUnknown(respondWith(RESPONSE_HEAD + "\r\nwhole or not"));
        assertUnknown(respondWith(RESPONSE_HEAD));
        assertUnknown(respondWith(""));
    }

    @Test
    void unsentRequestIsReportedAsNotRun() throws Exception {
        int port = upstream.getLocalPort();
        upstream.close();
        CallResult refused = send(port, 5_000).get();
        assertEquals(Execution.NOT_RUN, refused.toExecution());
        try (ServerSocket busyServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            http.setMaxConnectionsPerDestination(1);
            CompletableFuture<CallResult> sent = send(busyServer.getLocalPort(), 2_000);
            busyServer.accept();
            CompletableFuture<CallResult> queued = send(busyServer.getLocalPort(), 500);
            assertEquals(Execution.NOT_RUN, queued.get().toExecution());
            assertEquals(504, queued.get().status());
            assertEquals(Execution.UNKNOWN, sent.get().toExecution());
            assertEquals(504, sent.get().status());
        }
    }

    private static void assertUnknown(CallResult result) {
        assertEquals(502, result.status());
        assertEquals(Execution.UNKNOWN, result.toExecution());
    }

    private CallResult respondWith(String text) throws Exception {
        CompletableFuture<CallResult> result = send(upstream.getLocalPort(), 5_000);
        try (Socket socket = upstream.accept()) {
            readRequest(socket);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
        return result.get(10, TimeUnit.SECONDS);
    }

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("one tag")) {
            request.append((char) socket.getInputStream().read());
        }
    }

    private CompletableFuture<CallResult> send(int port, long timeoutMs) {
        UpstreamClient client = new UpstreamClient(http, URI.create("http://127.0.0.1:" + port), 1_024);
        RequestContext context = new RequestContext("1", "acme", "order", Priority.NORMAL, false, Optional.empty(), 0);
        byte[] body = "one tag".getBytes(StandardCharsets.US_ASCII);
        return client.send(
                new CallRequest(context, "orders", timeoutMs, 0, "POST", "/orders/1", List.of(), body), "token");
    }

    private static String toText(CallResult result) {
        return new String(result.body(), StandardCharsets.US_ASCII);
    }
}
