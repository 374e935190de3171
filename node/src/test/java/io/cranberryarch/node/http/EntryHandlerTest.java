package io.cranberryarch.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.RefusalBody;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.standin.PlatformFaults;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class EntryHandlerTest {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static FleetFixture fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new FleetFixture();
        fleet.add("orders1", "zone-a", "orders", 10);
        fleet.add("history1", "zone-b", "history", 10);
        fleet.awaitReady();
    }

    @AfterAll
    static void stop() throws Exception {
        fleet.close();
    }

    @Test
    void chainOfTwoServicesIsAnswered() throws Exception {
        HttpResponse<String> response = get(0, "/orders/1?call=/history/2", FleetFixture.KEY);
        assertEquals(200, response.statusCode());
        assertEquals("orders1 0 bytes <- history1 0 bytes", response.body());
        assertEquals("run", response.headers().firstValue("X-Execution").orElse(""));
    }

    @Test
    void callThroughAnotherNodeIsAnswered() throws Exception {
        assertEquals("history1 0 bytes", get(0, "/history/2", FleetFixture.KEY).body());
        assertEquals("orders1 0 bytes", get(1, "/orders/2", FleetFixture.KEY).body());
    }

    @Test
    void wrongKeyIsRefused() throws Exception {
        assertRefused(get(0, "/orders/1", "k1.wrong"), 401, "key-rejected");
        assertRefused(get(0, "/orders/1", "nobody.secret-of-k1"), 401, "key-rejected");
        assertRefused(get(0, "/orders/1", ""), 401, "key-rejected");
    }

    @Test
    void unknownRouteIsRefused() throws Exception {
        assertRefused(get(0, "/nowhere", FleetFixture.KEY), 404, "no-route");
        assertRefused(get(0, "/ordersandmore", FleetFixture.KEY), 404, "no-route");
    }

    @Test
    void openRouteNeedsNoKey() throws Exception {
        assertEquals(200, get(1, "/open/1", "").statusCode());
    }

    @Test
    void oversizedBodyIsRefused() throws Exception {
        HttpRequest request = toRequest(0, "/orders/1", FleetFixture.KEY)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[100 * 1024]))
                .build();
        assertRefused(CLIENT.send(request, HttpResponse.BodyHandlers.ofString()), 413, "body-too-large");
    }

    @Test
    void oversizedBodyOfUnknownLengthIsRefused() throws Exception {
        HttpRequest request = toRequest(0, "/orders/1", FleetFixture.KEY)
                .POST(HttpRequest.BodyPublishers.ofInputStream(() -> InputStream.nullInputStream()))
                .build();
        assertEquals(
                200, CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
        HttpRequest large = toRequest(0, "/orders/1", FleetFixture.KEY)
                .POST(HttpRequest.BodyPublishers.ofInputStream(
                        () -> new java.io.ByteArrayInputStream(new byte[100 * 1024])))
                .build();
        assertRefused(CLIENT.send(large, HttpResponse.BodyHandlers.ofString()), 413, "body-too-large");
    }

    @Test
    void truncatedBodyIsRefusedAndNotRun() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", fleet.getNode(0).getEntryPort())) {
            String head = "POST /orders/cut HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + FleetFixture.KEY
                    + "\r\nIdempotency-Key: cut-1\r\nContent-Length: 100\r\n\r\nonly this";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        }
        assertEquals(0, fleet.getUpstream(0).getExecutionCount("cut-1"));
    }

    @Test
    void callsSucceedWhileThePlatformIsUnavailable() throws Exception {
        fleet.getPlatform().setFaults(new PlatformFaults(true, 0, false));
        try {
            assertEquals(200, get(0, "/history/3", FleetFixture.KEY).statusCode());
        } finally {
            fleet.getPlatform().setFaults(PlatformFaults.NONE);
        }
    }

    @Test
    void keyIsNotForwardedToTheUpstream() throws Exception {
        assertEquals(200, get(0, "/history/3", FleetFixture.KEY).statusCode());
        assertEquals(0, fleet.getUpstream(1).getCredentialCount());
    }

    private static void assertRefused(HttpResponse<String> response, int status, String reason) throws Exception {
        assertEquals(status, response.statusCode());
        RefusalBody body = ApiJson.MAPPER.readValue(response.body(), RefusalBody.class);
        assertEquals(reason, body.reason());
        assertEquals("not-run", body.execution());
        assertFalse(body.requestId().isEmpty());
    }

    private static HttpResponse<String> get(int node, String path, String key) throws Exception {
        return CLIENT.send(toRequest(node, path, key).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder toRequest(int node, String path, String key) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + fleet.getNode(node).getEntryPort() + path));
        return key.isEmpty() ? request : request.header("Authorization", "Bearer " + key);
    }
}
