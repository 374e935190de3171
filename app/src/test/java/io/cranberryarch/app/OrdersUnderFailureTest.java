package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.operator.ExitCodes;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Orders of callers that retry hard, while separate processes are frozen, killed and replaced and the platform fails. */
class OrdersUnderFailureTest {

    private static final int CALLER_COUNT = 8;
    private static final int MAX_ATTEMPTS = 4;
    private static final long SEED = 17;
    private static final String[] INSTANCES = {"orders1", "orders2", "orders3"};

    @TempDir
    Path folder;

    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final AtomicBoolean isFinished = new AtomicBoolean();
    private final AtomicInteger nextId = new AtomicInteger();
    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void ordersRunAtMostOnceAndResponsesMatchTheirExecution() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder)) {
            for (int i = 0; i < INSTANCES.length; i++) {
                fleet.addInstance(INSTANCES[i], i == 0 ? "zone-a" : "zone-b", "orders");
            }
            prepare(fleet);
            ExecutorService callers = Executors.newFixedThreadPool(CALLER_COUNT);
            List<Future<?>> running = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                Random random = new Random(SEED + i);
                running.add(callers.submit(() -> sendOrders(fleet, random)));
            }
            injectFaults(fleet);
            isFinished.set(true);
            for (Future<?> caller : running) {
                caller.get();
            }
            callers.shutdown();
            checkOrders(fleet.readExecutions());
            checkServiceRecovered(fleet);
            assertFalse(fleet.readLogs().contains("secret-part"), "a key is in the logs");
        }
    }

    private void prepare(ProcessFleet fleet) throws Exception {
        String accounts = "/teams/shop/accounts/acme/";
        String keys = "/teams/shop/keys/k1/";
        String routes = "/teams/shop/routes/order/";
        int code = fleet.runCommand(
                "settings",
                "set",
                accounts + "rate=100000",
                accounts + "burst=100000",
                keys + "account=acme",
                keys + "sha256=" + io.cranberryarch.base.Digests.toSha256Hex("secret-part"),
                routes + "prefix=/orders",
                routes + "service=orders",
                routes + "timeout-ms=2000");
        assertEquals(ExitCodes.OK, code);
        fleet.awaitAllServing();
        ProcessFleet.await(() -> send(fleet, "orders1", "warm-1", false).isOk());
        ProcessFleet.await(() -> send(fleet, "orders3", "warm-3", false).isOk());
    }

    private void injectFaults(ProcessFleet fleet) throws Exception {
        Thread.sleep(1_000);
        fleet.signal("orders2", "STOP");
        Thread.sleep(2_500);
        fleet.signal("orders2", "CONT");
        fleet.setFaults("down=true");
        fleet.signal("orders3", "KILL");
        fleet.awaitEnd("orders3");
        fleet.startNode("orders3");
        Thread.sleep(1_000);
        fleet.setFaults("lose-answers=true");
        Thread.sleep(500);
        fleet.setFaults("down=false");
        fleet.signal("orders1", "TERM");
        fleet.awaitEnd("orders1");
        fleet.startNode("orders1");
        Thread.sleep(1_000);
    }

    private void sendOrders(ProcessFleet fleet, Random random) {
        while (!isFinished.get()) {
            String key = "order-" + nextId.incrementAndGet();
            for (int i = 0; i < MAX_ATTEMPTS; i++) {
                Outcome outcome = send(fleet, INSTANCES[random.nextInt(INSTANCES.length)], key, i == 0);
                outcomes.merge(key, outcome, Outcome::mergeLater);
                if (outcome.isOk()) {
                    break;
                }
            }
        }
    }

    private void checkOrders(Map<String, Integer> executions) {
        int ok = 0;
        int unknown = 0;
        for (Map.Entry<String, Outcome> entry : outcomes.entrySet()) {
            int count = executions.getOrDefault(entry.getKey(), 0);
            String text = entry.getKey() + " " + entry.getValue() + " ran " + count + " times";
            assertTrue(count <= 1, text);
            assertTrue(!entry.getValue().isOk() || count == 1, text);
            assertTrue(!entry.getValue().isNotRun() || count == 0, text);
            ok += entry.getValue().isOk() ? 1 : 0;
            unknown += entry.getValue().isOk() || entry.getValue().isNotRun() ? 0 : 1;
        }
        System.out.println("orders " + outcomes.size() + ", answered whole " + ok + ", unknown " + unknown);
        assertTrue(ok > 0, "no order was answered");
    }

    private void checkServiceRecovered(ProcessFleet fleet) throws Exception {
        fleet.awaitAllServing();
        for (String instance : INSTANCES) {
            ProcessFleet.await(() -> send(fleet, instance, "after-" + nextId.incrementAndGet(), true)
                    .isOk());
        }
    }

    private Outcome send(ProcessFleet fleet, String instance, String key, boolean isFirst) {
        try {
            URI target = URI.create(fleet.toEntry(instance) + "/orders/new?work-ms=5");
            HttpRequest request = HttpRequest.newBuilder(target)
                    .header("Authorization", "Bearer k1.secret-part")
                    .header("Idempotency-Key", key)
                    .header("X-Request-Attempt", isFirst ? "1" : "2")
                    .timeout(Duration.ofSeconds(10))
                    .POST(HttpRequest.BodyPublishers.ofString("one tag"))
                    .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Outcome(response.statusCode(), response.headers().firstValue("X-Execution"));
        } catch (IOException | IllegalStateException e) {
            return new Outcome(0, Optional.empty());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome(0, Optional.empty());
        }
    }

    /** What the caller knows of an order. */
    private record Outcome(int status, Optional<String> execution) {

        boolean isOk() {
            return status == 200;
        }

        boolean isNotRun() {
            return execution.equals(Optional.of("not-run"));
        }

        Outcome mergeLater(Outcome later) {
            return isOk() ? this : later;
        }
    }
}
