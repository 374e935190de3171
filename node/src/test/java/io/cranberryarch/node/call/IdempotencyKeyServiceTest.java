package io.cranberryarch.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.IssuedKeysBody;
import io.cranberryarch.node.FleetFixture;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class IdempotencyKeyServiceTest {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final int ORDERS_1 = 0;
    private static final int HISTORY = 1;
    private static final int ORDERS_2 = 2;

    private FleetFixture fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture();
        fleet.add("orders1", "zone-a", "orders", 10);
        fleet.add("history1", "zone-b", "history", 10);
        fleet.add("orders2", "zone-b", "orders", 10);
        fleet.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void retriesOfAnIssuedKeyThroughAllEntriesRunOnceAndShareOneResponse() throws Exception {
        String key = issue(HISTORY);
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            HttpRequest request = toOrder(i % 3, "/orders/1?work-ms=100", key).build();
            responses.add(CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            assertEquals(200, response.get().statusCode(), response.get().body());
            assertEquals(responses.get(0).get().body(), response.get().body());
        }
        assertEquals(1, countExecutions(key));
        assertRefused(order(ORDERS_1, "/orders/2", key), 422, "unknown");
        assertRefused(order(HISTORY, "/orders/1", key.replace("orders", "history")), 400, "unknown");
        assertEquals(1, countExecutions(key));
    }

    @Test
    void keyOwnedByANodeKilledDuringTheRequestNeverRunsAgain() throws Exception {
        String key = issue(HISTORY);
        int owner = key.contains("~orders1~") ? ORDERS_1 : ORDERS_2;
        HttpRequest slow = toOrder(HISTORY, "/orders/1?work-ms=60000", key).build();
        CompletableFuture<HttpResponse<String>> first = CLIENT.sendAsync(slow, HttpResponse.BodyHandlers.ofString());
        FleetFixture.await(() -> countExecutions(key) == 1);
        fleet.getNode(owner).kill();
        assertRefused(first.get(), 502, "unknown");
        assertEquals("unknown", toExecution(order(HISTORY, "/orders/1?work-ms=60000", key)));
        fleet.add(owner == ORDERS_1 ? "orders1" : "orders2", "zone-a", "orders", 10);
        FleetFixture.await(() -> order(HISTORY, "/orders/1?work-ms=60000", key).statusCode() == 409);
        assertEquals("unknown", toExecution(order(3, "/orders/1?work-ms=60000", key)));
        assertEquals(1, countExecutions(key));
    }

    @Test
    void retriesOfACallerChosenKeyThroughAllEntriesRunOnce() throws Exception {
        FleetFixture.await(() -> order(HISTORY, "/orders/1", "order-1").statusCode() == 200);
        assertEquals(200, order(ORDERS_1, "/orders/1", "order-1").statusCode());
        assertEquals(200, order(ORDERS_2, "/orders/1", "order-1").statusCode());
        assertEquals(1, countExecutions("order-1"));
    }

    @Test
    void refusalOfALaterAttemptIsNotReportedAsNotRun() throws Exception {
        HttpRequest.Builder request =
                toOrder(HISTORY, "/orders/1", "order-2").setHeader("Authorization", "Bearer k1.wrong");
        assertEquals("unknown", toExecution(send(request)));
        assertEquals("not-run", toExecution(send(request.header("X-Request-Attempt", "1"))));
    }

    private int countExecutions(String key) {
        int count = 0;
        for (int i = 0; i < 3; i++) {
            count += fleet.getUpstream(i).getExecutionCount(key);
        }
        return count;
    }

    private String issue(int entry) throws Exception {
        String path = "/.well-known/cranberryarch/idempotency-keys?count=2&path=/orders/1";
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(fleet.getEntryUri(entry) + path))
                .header("Authorization", "Bearer " + FleetFixture.KEY)
                .POST(HttpRequest.BodyPublishers.noBody());
        List<String> keys = ApiJson.MAPPER
                .readValue(send(request).body(), IssuedKeysBody.class)
                .keys();
        assertEquals(2, keys.stream().distinct().count());
        return keys.get(0);
    }

    private HttpRequest.Builder toOrder(int entry, String path, String key) {
        return HttpRequest.newBuilder(URI.create(fleet.getEntryUri(entry) + path))
                .header("Authorization", "Bearer " + FleetFixture.KEY)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("one tag"));
    }

    private HttpResponse<String> order(int entry, String path, String key) {
        try {
            return send(toOrder(entry, path, key));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String toExecution(HttpResponse<String> response) {
        return response.headers().firstValue("X-Execution").orElse("");
    }

    private static void assertRefused(HttpResponse<String> response, int status, String execution) {
        assertEquals(status, response.statusCode(), response.body());
        assertEquals(execution, toExecution(response));
        assertTrue(response.body().contains("reason"), response.body());
    }
}
