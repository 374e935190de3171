package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.settings.serving.AccountRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class EntryServiceTest extends TwoNodesTest {

    @Test
    void requestsReachTheUpstreamWithAccountAndWithoutKey() throws Exception {
        HttpResponse<String> answer = send("GET", "/read/7?x=%2F", KEY);
        assertEquals(200, answer.statusCode());
        assertEquals("instance-of-node-a", answer.body());
        HttpRequestMessage received = near.upstream().getArrived().get(0).getRequest();
        assertEquals("/read/7?x=%2F", received.target());
        assertEquals(Optional.of("ana"), received.findHeader(TestHeaderNames.NAMES.account()));
        assertEquals(Optional.of("stock"), received.findHeader(TestHeaderNames.NAMES.callerService()));
        assertEquals(Optional.of("instance-of-node-a"), received.findHeader(TestHeaderNames.NAMES.expectedInstance()));
        assertEquals(Optional.empty(), received.findHeader("Authorization"));
        long leftMs = Long.parseLong(
                received.findHeader(TestHeaderNames.NAMES.timeoutMs()).orElseThrow());
        assertTrue(leftMs > 0 && leftMs <= 4_000, "left " + leftMs);
    }

    /** Guards against requests that are never answered after a stall of the process, as the store does not respond. */
    @Test
    void requestsAreServedAfterAStallWithoutTheStore() throws Exception {
        near.store().setUnavailable(true);
        near.stall(1_000);
        assertEquals(200, send("GET", "/read/7", KEY).statusCode());
        fleet.awaitLine("event=process-stalled stall-ms=\\d+ version-in-force=1");
        fleet.awaitLine("event=rules-confirmed source=none version-in-force=1 held=1");
        assertEquals(200, send("GET", "/read/8", KEY).statusCode());
    }

    @Test
    void unknownKeysAndRoutesAreRefusedAtTheEntry() throws Exception {
        assertEquals(401, send("GET", "/read/7", "key-of-nobody").statusCode());
        assertEquals(404, send("GET", "/nowhere/7", KEY).statusCode());
        assertEquals(200, send("GET", "/open/7", "").statusCode());
        assertEquals(1, near.upstream().getArrived().size());
    }

    @Test
    void requestWithoutKeyIsNotRun() throws Exception {
        // A node that has just started cannot distinguish it from a nested call of a run that is not registered.
        assertEquals(503, send("GET", "/read/7", "").statusCode());
        Run run = startRun();
        assertEquals(503, send("GET", "/read/8", "").statusCode());
        assertEquals(1, near.upstream().getArrived().size());
        run.answer().cancel(true);
    }

    @Test
    void nestedCallsNeedNoKeyWhileTheirRequestRuns() throws Exception {
        Run run = startRun();
        near.upstream().setBehaviour(nested -> near.upstream().respond(nested, 200, "nested"));
        TestFleet.await(() -> TestFleet.get(fleet.send(near, "GET", "/read/8", "", toRemainingMs(run.exchange())))
                .body()
                .equals("nested"));
        near.upstream().execute(() -> near.upstream().respond(run.exchange(), 200, "root"));
        assertEquals("root", TestFleet.get(run.answer()).body());
    }

    /** The time limit of a nested call may end long before its run, so that its deadline does not identify the run. */
    @Test
    void nestedCallWithAShorterTimeLimitIsMatchedByTheIdentifierOfItsParent() throws Exception {
        Run run = startRun();
        near.upstream().setBehaviour(nested -> near.upstream().respond(nested, 200, "nested"));
        String parentId = findRequestId(run.exchange());
        assertTrue(sendKeyless("127.0.0.1", parentId + ".1", "900").startsWith("HTTP/1.1 200 "));
        assertTrue(sendKeyless("127.0.0.1", parentId, "900").startsWith("HTTP/1.1 503 "));
        assertTrue(sendKeyless("127.0.0.1", "other.1", "900").startsWith("HTTP/1.1 503 "));
        // A loopback address belongs to the same host, whichever it is.
        assertTrue(sendKeyless("127.0.0.2", parentId + ".1", "900").startsWith("HTTP/1.1 200 "));
        assertEquals(401, sendKeylessFromAnotherHost(parentId + ".1", "900").status());
        run.answer().cancel(true);
    }

    /** The call has been repeated at its own node; a repeat of the run would make all its calls again. */
    @Test
    void nestedRunIsNotRepeatedForACallThatItsServiceFailed() throws Exception {
        Run root = startRun();
        String rootId = findRequestId(root.exchange());
        CompletableFuture<HttpExchange> nested = new CompletableFuture<>();
        near.upstream().setBehaviour(nested::complete);
        CompletableFuture<String> nestedAnswer =
                CompletableFuture.supplyAsync(() -> sendKeyless("127.0.0.1", rootId + ".1", "3000"));
        HttpExchange nestedRun = TestFleet.get(nested);
        near.upstream().setBehaviour(near.upstream()::reject);
        far.upstream().setBehaviour(far.upstream()::reject);
        assertTrue(sendKeyless("127.0.0.1", rootId + ".1.1", "900").startsWith("HTTP/1.1 503 "));
        int arrivedCount = far.upstream().getArrived().size();
        near.upstream().execute(() -> near.upstream().respond(nestedRun, 500, "failed"));
        assertTrue(TestFleet.get(nestedAnswer).startsWith("HTTP/1.1 500 "));
        assertEquals(arrivedCount, far.upstream().getArrived().size());
        root.answer().cancel(true);
    }

    private static String findRequestId(HttpExchange exchange) {
        return exchange.getRequest()
                .findHeader(TestHeaderNames.NAMES.requestId())
                .orElseThrow();
    }

    /** Guards against proper requests that are denied because their host is written in another form. */
    @Test
    void formsOfTheHostSelectTheSameRoute() throws Exception {
        for (String head : List.of(
                "GET http://127.0.0.1/read/7 HTTP/1.1\r\nHost: 127.0.0.1\r\n",
                "GET http://127.0.0.1:80/read/7 HTTP/1.1\r\nHost: other.example\r\n",
                "GET /read/7 HTTP/1.1\r\nHost: 127.0.0.1.\r\n",
                "GET /read/7 HTTP/1.1\r\nHost: 127.0.0.1.:80\r\n")) {
            String answer = exchange(head + "Authorization: Bearer " + KEY + "\r\nConnection: close\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200 "), head + answer);
        }
        assertTrue(near.upstream().getArrived().stream()
                .allMatch(exchange -> exchange.getRequest().target().equals("/read/7")));
    }

    private String exchange(String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", near.getEntryPort())) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Sends a request without a key from a local address and returns the response as text. */
    private String sendKeyless(String localAddress, String requestId, String timeoutMs) {
        try (Socket client = new Socket()) {
            client.bind(new InetSocketAddress(localAddress, 0));
            client.connect(new InetSocketAddress("127.0.0.1", near.getEntryPort()));
            String head = "GET /read/8 HTTP/1.1\r\nHost: 127.0.0.1\r\n" + TestHeaderNames.NAMES.requestId() + ": "
                    + requestId + "\r\n" + TestHeaderNames.NAMES.timeoutMs() + ": " + timeoutMs
                    + "\r\nConnection: close\r\n\r\n";
            client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void keylessRequestFromAnotherHostIsNotANestedCall() throws Exception {
        Run run = startRun();
        int arrived = near.upstream().getArrived().size();
        HttpResponseMessage answer = sendKeylessFromAnotherHost("any", toRemainingMs(run.exchange()));
        assertEquals(401, answer.status());
        assertEquals(arrived, near.upstream().getArrived().size());
        run.answer().cancel(true);
    }

    /**
     * Guards against nested calls that are denied because they come from another address of the host than that of the
     * entry, as where the upstream connects to a loopback address without binding its own.
     */
    @Test
    void nestedCallFromAnotherAddressOfTheHostIsServed() throws Exception {
        Run run = startRun();
        near.upstream().setBehaviour(nested -> near.upstream().respond(nested, 200, "nested"));
        String answer = sendKeyless("127.0.0.2", "any", toRemainingMs(run.exchange()));
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        run.answer().cancel(true);
    }

    /** Hands the entry a request without a key as if it came from another host, and returns the response. */
    private HttpResponseMessage sendKeylessFromAnotherHost(String requestId, String timeoutMs) throws Exception {
        HttpRequestMessage request = new HttpRequestMessage(
                "GET",
                "/read/8",
                List.of(
                        new HeaderField("Host", "127.0.0.1"),
                        new HeaderField(TestHeaderNames.NAMES.requestId(), requestId),
                        new HeaderField(TestHeaderNames.NAMES.timeoutMs(), timeoutMs)),
                new byte[0],
                false);
        RemoteExchange exchange = new RemoteExchange(request, near.loop().nowMs());
        near.loop().execute(() -> near.node().getEntry().onRequest(exchange));
        return TestFleet.get(exchange.response);
    }

    /** Returns the remaining time of a request at an upstream, in milliseconds. */
    private static String toRemainingMs(HttpExchange exchange) {
        long initialMs = Long.parseLong(exchange.getRequest()
                .findHeader(TestHeaderNames.NAMES.timeoutMs())
                .orElseThrow());
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - exchange.getReceivedAtMs();
        return String.valueOf(initialMs - elapsedMs);
    }

    @Test
    void withdrawnKeyStopsWorkingOnOpenConnections() throws Exception {
        assertEquals(200, send("GET", "/read/7", KEY).statusCode());
        fleet.setAccounts(new AccountRule("ana", List.of("other-key"), Optional.empty(), 0, 0));
        fleet.publish(3);
        TestFleet.await(() -> send("GET", "/read/7", KEY).statusCode() == 401);
        assertEquals(200, send("GET", "/read/7", "other-key").statusCode());
    }

    @Test
    void malformedRequestIsRefusedWithAReasonAndCounted() throws Exception {
        try (Socket client = new Socket("127.0.0.1", near.getEntryPort())) {
            client.getOutputStream()
                    .write("GET /read/7 HTTP/1.1\r\nHost a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
            assertTrue(answer.endsWith("{\"reason\":\"request-malformed\",\"execution\":\"not-run\"}"), answer);
        }
        assertTrue(near.metrics().contains("requests_malformed{status=\"400\"} 1"), near.metrics());
    }

    @Test
    void accountOverItsRateGetsARetryAfterTime() throws Exception {
        fleet.setAccounts(new AccountRule("ana", List.of(KEY), Optional.empty(), 1, 1));
        fleet.publish(3);
        AtomicReference<HttpResponse<String>> answer = new AtomicReference<>();
        TestFleet.await(() -> {
            answer.set(send("GET", "/read/7", KEY));
            return answer.get().statusCode() == 429;
        });
        assertTrue(Double.parseDouble(
                        answer.get().headers().firstValue("Retry-After").orElseThrow())
                > 0);
    }

    @Test
    void callerThatDisconnectsCancelsTheRun() throws Exception {
        CompletableFuture<Boolean> cancelled = new CompletableFuture<>();
        CompletableFuture<Boolean> arrived = new CompletableFuture<>();
        near.upstream().setBehaviour(exchange -> {
            exchange.onAbandoned(() -> cancelled.complete(true));
            arrived.complete(true);
        });
        CompletableFuture<HttpResponse<String>> request = fleet.send(near, "GET", "/read/7", KEY);
        TestFleet.get(arrived);
        request.cancel(true);
        assertTrue(TestFleet.get(cancelled));
    }

    /** A request from another host. */
    private static final class RemoteExchange implements HttpExchange {

        private final HttpRequestMessage request;
        private final long receivedAtMs;
        private final CompletableFuture<HttpResponseMessage> response = new CompletableFuture<>();

        RemoteExchange(HttpRequestMessage request, long receivedAtMs) {
            this.request = request;
            this.receivedAtMs = receivedAtMs;
        }

        @Override
        public HttpRequestMessage getRequest() {
            return request;
        }

        @Override
        public Optional<InetAddress> getRemoteAddress() {
            // Of a network that is reserved for documentation.
            return Optional.of(new InetSocketAddress("192.0.2.7", 0).getAddress());
        }

        @Override
        public boolean isFromLocalHost() {
            return false;
        }

        @Override
        public long getReceivedAtMs() {
            return receivedAtMs;
        }

        @Override
        public void respond(HttpResponseMessage message) {
            response.complete(message);
        }

        @Override
        public void onAbandoned(Runnable action) {}

        @Override
        public boolean isAbandoned() {
            return false;
        }
    }
}
