package io.cranberryarch.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.HeaderField;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientConnectionTest {

    private static final HttpRequestMessage REQUEST =
            new HttpRequestMessage("GET", "/", List.of(new HeaderField("X-Id", "7")), new byte[0], false);

    private LoopRunner runner;
    private ServerSocket server;
    private HttpClientPool pool;

    @BeforeEach
    void start() throws Exception {
        runner = new LoopRunner();
        server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        pool = new HttpClientPool(
                runner.getLoop(),
                new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                1_000,
                60_000,
                new ByteBudget(10_000));
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        runner.close();
    }

    private CompletableFuture<String> send() throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        runner.call(() -> pool.send(
                REQUEST,
                response -> response.findHeader("X-Id").orElse("7").equals("7"),
                new HttpClientConnection.Callback() {
                    @Override
                    public void onResponse(HttpResponseMessage response) {
                        outcome.complete(response.status() + ":" + new String(response.body(), StandardCharsets.UTF_8));
                    }

                    @Override
                    public void onFailure(HttpFailure failure, String cause) {
                        outcome.complete(failure.name());
                    }
                }));
        return outcome;
    }

    private static void respond(Socket socket, String text) throws Exception {
        // The request has arrived once its first bytes can be read.
        assertTrue(socket.getInputStream().read(new byte[1_000]) > 0);
        write(socket, text);
    }

    private static void write(Socket socket, String text) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Test
    void completeResponsesAreDeliveredAndTheConnectionIsReused() throws Exception {
        CompletableFuture<String> first = send();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
            assertEquals("200:ab", LoopRunner.await(first));
            CompletableFuture<String> second = send();
            respond(socket, "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\n");
            assertEquals("500:c", LoopRunner.await(second));
        }
        assertEquals(1, pool.getOpenedConnections());
    }

    @Test
    void truncatedResponsesAreFailures() throws Exception {
        CompletableFuture<String> outcome = send();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
        }
        assertEquals("MAY_HAVE_RUN", LoopRunner.await(outcome));
    }

    @Test
    void responsesWithoutLengthEndWithTheirConnection() throws Exception {
        CompletableFuture<String> outcome = send();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\n\r\nabc");
        }
        assertEquals("200:abc", LoopRunner.await(outcome));
    }

    @Test
    void responsesWithoutLengthThatAreResetAreFailures() throws Exception {
        CompletableFuture<String> outcome = send();
        Socket socket = server.accept();
        // Closing a socket with a linger time of 0 resets the connection.
        socket.setSoLinger(true, 0);
        respond(socket, "HTTP/1.1 200 OK\r\n\r\nabc");
        socket.close();
        assertFalse(LoopRunner.await(outcome).startsWith("200"));
    }

    @Test
    void malformedResponseIsAFailure() throws Exception {
        CompletableFuture<String> outcome = send();
        try (Socket socket = server.accept()) {
            respond(socket, "no response at all\r\n\r\n");
            assertEquals("MAY_HAVE_RUN", LoopRunner.await(outcome));
        }
    }

    @Test
    void lateResponseToAnotherRequestIsDiscarded() throws Exception {
        CompletableFuture<String> outcome = send();
        try (Socket socket = server.accept()) {
            respond(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: 7\r\n"
                            + "Content-Length: 3\r\n\r\nnew");
            assertEquals("200:new", LoopRunner.await(outcome));
        }
    }

    @Test
    void bytesAfterAResponseCloseTheConnection() throws Exception {
        CompletableFuture<String> first = send();
        try (Socket socket = server.accept()) {
            respond(
                    socket,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
            assertEquals("200:ab", LoopRunner.await(first));
        }
        CompletableFuture<String> second = send();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd");
            assertEquals("200:cd", LoopRunner.await(second));
        }
        assertEquals(2, pool.getOpenedConnections());
    }

    @Test
    void refusedConnectionsAreReportedAsNotSent() throws Exception {
        server.close();
        assertEquals("NOT_SENT", LoopRunner.await(send()));
    }
}
