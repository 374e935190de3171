package io.cranberryarch.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that the client closes connections on which a faulty server sends bytes without end, and that requests to other
 * servers complete meanwhile.
 */
class EndlessResponseTest {

    private static final int REQUESTS = 24;
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    private static final int BUDGET_BYTES = 4 * 1024 * 1024;
    private static final HttpRequestMessage REQUEST = new HttpRequestMessage("GET", "/", List.of(), new byte[0], false);

    private final List<Thread> threads = new ArrayList<>();
    private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
    private LoopRunner runner;
    private ServerSocket server;
    private HttpClientPool pool;

    @BeforeEach
    void start() throws Exception {
        runner = new LoopRunner();
        server = new ServerSocket(0, REQUESTS, InetAddress.getByName("127.0.0.1"));
        pool = new HttpClientPool(
                runner.getLoop(),
                new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                MAX_BODY_BYTES,
                60_000,
                budget);
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        runner.close();
        for (Thread thread : threads) {
            thread.join();
        }
    }

    @ParameterizedTest
    @EnumSource(EndlessResponse.class)
    void endlessResponsesFailAndCloseTheConnection(EndlessResponse response) throws Exception {
        AtomicInteger closedConnections = new AtomicInteger();
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            outcomes.add(send(pool));
        }
        for (int i = 0; i < REQUESTS; i++) {
            Socket socket = server.accept();
            run(() -> response.sendTo(socket, closedConnections));
        }
        for (CompletableFuture<String> outcome : outcomes) {
            assertEquals("MAY_HAVE_RUN", LoopRunner.await(outcome));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(REQUESTS, closedConnections.get());
        assertEquals(0, runner.call(budget::getHeldBytes));
    }

    @Test
    void otherResponsesCompleteDuringEndlessOnes() throws Exception {
        List<CompletableFuture<String>> endless = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            endless.add(send(pool));
            Socket socket = server.accept();
            run(() -> EndlessResponse.BODY.sendTo(socket, new AtomicInteger()));
        }
        try (ServerSocket healthyServer = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            HttpClientPool healthyPool = new HttpClientPool(
                    runner.getLoop(),
                    new InetSocketAddress("127.0.0.1", healthyServer.getLocalPort()),
                    MAX_BODY_BYTES,
                    60_000,
                    budget);
            for (int i = 0; i < REQUESTS; i++) {
                CompletableFuture<String> outcome = send(healthyPool);
                if (i == 0) {
                    Socket socket = healthyServer.accept();
                    run(() -> respondToAll(socket));
                }
                assertEquals("200", LoopRunner.await(outcome));
            }
            healthyPool.closeIdle();
        }
        for (CompletableFuture<String> outcome : endless) {
            assertEquals("MAY_HAVE_RUN", LoopRunner.await(outcome));
        }
    }

    @Test
    void largestHolderIsAbortedFirst() {
        ByteBudget small = new ByteBudget(100);
        List<String> aborted = new ArrayList<>();
        ByteBudget.Holder first = cause -> aborted.add("first");
        ByteBudget.Holder second = cause -> aborted.add("second");
        small.add(first, 40);
        small.add(second, 50);
        small.add(first, 20);
        assertEquals(List.of("first"), aborted);
        assertEquals(50, small.getHeldBytes());
        small.add(second, 200);
        assertEquals(List.of("first", "second"), aborted);
        assertEquals(0, small.getHeldBytes());
    }

    private CompletableFuture<String> send(HttpClientPool target) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        runner.call(() -> target.send(REQUEST, EndlessResponse::matchesRequest, new HttpClientConnection.Callback() {
            @Override
            public void onResponse(HttpResponseMessage response) {
                outcome.complete(String.valueOf(response.status()));
            }

            @Override
            public void onFailure(HttpFailure failure, String cause) {
                outcome.complete(failure.name());
            }
        }));
        return outcome;
    }

    private void run(Runnable task) {
        Thread thread = new Thread(task, "server");
        threads.add(thread);
        thread.start();
    }

    private static void respondToAll(Socket socket) {
        try (socket) {
            while (socket.getInputStream().read(new byte[1_000]) > 0) {
                socket.getOutputStream().write(toBytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
            }
        } catch (IOException e) {
            // The client closed the connection at the end of the test.
            assertTrue(socket.isClosed());
        }
    }

    private static byte[] toBytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The first bytes that a server sends, and the bytes that it repeats until the connection is closed. */
    private enum EndlessResponse {
        BODY("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(8_192)),
        BODY_WITH_LARGE_CONTENT_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", "x".repeat(8_192)),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + "x".repeat(4_096) + "\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x".repeat(8_192)),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"),
        HEAD("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
        HEADER("HTTP/1.1 200 OK\r\nX-More: ", "x".repeat(8_192)),
        NOT_HTTP("", "no answer in the protocol\r\n"),
        INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
        UNMATCHED("", "HTTP/1.1 200 OK\r\nX-Foreign: 1\r\nContent-Length: 1\r\n\r\nx");

        private final byte[] first;
        private final byte[] next;

        EndlessResponse(String first, String next) {
            this.first = toBytes(first);
            this.next = toBytes(next);
        }

        static boolean matchesRequest(HttpResponseMessage response) {
            return response.findHeader("X-Foreign").isEmpty();
        }

        void sendTo(Socket socket, AtomicInteger closedConnections) {
            try (socket) {
                OutputStream out = socket.getOutputStream();
                out.write(first);
                while (true) {
                    out.write(next);
                }
            } catch (IOException e) {
                closedConnections.incrementAndGet();
            }
        }
    }
}
