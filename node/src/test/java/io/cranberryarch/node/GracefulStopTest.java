package io.cranberryarch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class GracefulStopTest {

    private static final int CALLER_COUNT = 12;
    private static final String REFUSED_CONNECTION = "refused connection";

    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private final AtomicBoolean stopped = new AtomicBoolean();

    @Test
    void gracefulStopUnderLoadInterruptsNoRequest() throws Exception {
        try (FleetFixture fleet = new FleetFixture()) {
            // Callers without a pause between requests would exceed the rate of the account on a fast machine.
            fleet.applySettings("/teams/shop/accounts/acme/rate=100000", "/teams/shop/accounts/acme/burst=100000");
            fleet.add("history1", "zone-a", "history", 50);
            fleet.add("orders1", "zone-a", "orders", 50);
            fleet.add("orders2", "zone-a", "orders", 50);
            fleet.awaitReady();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                int entry = i % 2;
                String path = "/orders/1?work-ms=" + (i * 20) + (i % 3 == 0 ? "&call=/history/1" : "");
                URI target = URI.create(fleet.getEntryUri(entry) + path);
                callers.add(new Thread(() -> sendRepeatedly(entry, target)));
            }
            callers.forEach(Thread::start);
            FleetFixture.await(() -> count("0 200") > 20 && count("1 200") > 20);
            fleet.getNode(1).close();
            int countAtStop = count("0 200");
            FleetFixture.await(() -> count("0 200") > countAtStop + 20);
            stopped.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            List<String> unexpected = new ArrayList<>();
            for (String outcome : outcomes.keySet()) {
                if (!List.of("0 200", "1 200", "1 503 not-run", "1 " + REFUSED_CONNECTION)
                        .contains(outcome)) {
                    unexpected.add(outcome);
                }
            }
            assertEquals(List.of(), unexpected, outcomes.toString());
            assertTrue(count("1 " + REFUSED_CONNECTION) > 0, outcomes.toString());
        }
    }

    @Test
    void lossOfTheEntryNodeCancelsTheWholeCallTree() throws Exception {
        try (FleetFixture fleet = new FleetFixture()) {
            fleet.applySettings(
                    "/teams/shop/routes/order/timeout-ms=60000", "/teams/shop/routes/history/timeout-ms=60000");
            fleet.add("front1", "zone-a", "front", 10);
            fleet.add("orders1", "zone-a", "orders", 10);
            fleet.add("history1", "zone-b", "history", 10);
            fleet.awaitReady();
            URI target = URI.create(fleet.getEntryUri(0) + "/orders/1?call=%2Fhistory%2F1%3Fwork-ms%3D60000");
            Thread caller = new Thread(() -> sendRepeatedly(0, target));
            stopped.set(true);
            caller.start();
            FleetFixture.await(() ->
                    fleet.getNode(1).getInFlight() == 1 && fleet.getNode(2).getInFlight() == 1);
            fleet.getNode(0).kill();
            FleetFixture.await(() ->
                    fleet.getNode(1).getInFlight() == 0 && fleet.getNode(2).getInFlight() == 0);
            caller.join();
        }
    }

    private void sendRepeatedly(int entry, URI target) {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        do {
            String outcome = entry + " " + send(client, target);
            outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
            if (outcome.endsWith(REFUSED_CONNECTION)) {
                return;
            }
        } while (!stopped.get());
    }

    private static String send(HttpClient client, URI target) {
        HttpRequest request = HttpRequest.newBuilder(target)
                .header("Authorization", "Bearer " + FleetFixture.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("one tag"))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            String execution = response.headers().firstValue("X-Execution").orElse("");
            return response.statusCode() == 200 ? "200" : response.statusCode() + " " + execution;
        } catch (ConnectException e) {
            return REFUSED_CONNECTION;
        } catch (IOException | InterruptedException e) {
            return "connection lost: " + e;
        }
    }

    private int count(String outcome) {
        AtomicInteger count = outcomes.get(outcome);
        return count == null ? 0 : count.get();
    }
}
