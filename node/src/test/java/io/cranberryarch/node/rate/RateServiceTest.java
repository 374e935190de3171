package io.cranberryarch.node.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.standin.PlatformFaults;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RateServiceTest {

    private static final int NODE_COUNT = 3;
    private static final int CALLS_PER_NODE = 300;
    private static final double RATE_PER_S = 50;
    private static final double BURST = 30;

    private final HttpClient client = HttpClient.newHttpClient();
    private FleetFixture fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture();
        fleet.applySettings("/teams/shop/accounts/acme/rate=" + RATE_PER_S, "/teams/shop/accounts/acme/burst=" + BURST);
        fleet.add("orders1", "zone-a", "orders", 10);
        fleet.add("orders2", "zone-a", "orders", 10);
        fleet.add("orders3", "zone-b", "orders", 10);
        fleet.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void allNodesTogetherAdmitNoMoreThanRateAndBurst() {
        long startNanos = System.nanoTime();
        List<CompletableFuture<Integer>> callers = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            int node = i;
            callers.add(CompletableFuture.supplyAsync(() -> countAdmitted(node)));
        }
        int admitted = callers.stream().mapToInt(CompletableFuture::join).sum();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        assertTrue(admitted <= RATE_PER_S * seconds + BURST, admitted + " admitted in " + seconds + " s");
        assertTrue(admitted >= BURST / 2, admitted + " admitted");
    }

    @Test
    void callsContinueWhileThePlatformIsUnavailable() throws Exception {
        fleet.getPlatform().setFaults(new PlatformFaults(true, 0, false));
        for (int i = 0; i < NODE_COUNT; i++) {
            int node = i;
            FleetFixture.await(() -> getStatus(node) == 200);
        }
    }

    private int countAdmitted(int node) {
        int admitted = 0;
        for (int i = 0; i < CALLS_PER_NODE; i++) {
            if (getStatus(node) == 200) {
                admitted++;
            }
        }
        return admitted;
    }

    private int getStatus(int node) {
        HttpRequest request = HttpRequest.newBuilder(fleet.getEntryUri(node).resolve("/orders/1"))
                .header("Authorization", "Bearer " + FleetFixture.KEY)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
