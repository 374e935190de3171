package io.cranberryarch.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.settings.Priority;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class AdmissionServiceTest {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final int LOW_PRIORITY_CLIENTS = 12;
    private static final long PAUSE_MS = 20;

    @Test
    void criticalCallEvictsAQueuedLowCallAndRunsFirst() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
        try {
            AdmissionService admission =
                    new AdmissionService(1, new ManualClock(0), timer, account -> 1, new NodeMetrics());
            CallRequest running = toCall("running", Priority.LOW);
            assertEquals(Optional.empty(), admission.enter(running).join());
            List<CompletableFuture<Optional<Refusal>>> low = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                low.add(admission.enter(toCall("low" + i, Priority.LOW)));
            }
            CompletableFuture<Optional<Refusal>> critical = admission.enter(toCall("critical", Priority.CRITICAL));
            Refusal refusal = low.get(3).join().orElseThrow();
            assertEquals(Execution.NOT_RUN, refusal.execution());
            assertTrue(refusal.retryAfterMs() > 0);
            assertFalse(critical.isDone());
            CallResult response = new CallResult(200, List.of(), new byte[0], Optional.empty(), 0, Optional.empty());
            admission.exit(running, response, 1, 0);
            assertEquals(Optional.empty(), critical.join());
            assertFalse(low.get(0).isDone());
        } finally {
            timer.shutdownNow();
        }
    }

    @Test
    void criticalRequestsAreRefusedLessOftenThanLowOnesUnderOverload() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(LOW_PRIORITY_CLIENTS);
        AtomicBoolean isStopped = new AtomicBoolean();
        try (FleetFixture fleet = new FleetFixture()) {
            fleet.applySettings(
                    "/teams/shop/routes/bulk/prefix=/bulk",
                    "/teams/shop/routes/bulk/service=orders",
                    "/teams/shop/routes/bulk/priority=low",
                    "/teams/shop/routes/bulk/open=true",
                    "/teams/shop/routes/alarm/prefix=/alarm",
                    "/teams/shop/routes/alarm/service=orders",
                    "/teams/shop/routes/alarm/priority=critical",
                    "/teams/shop/routes/alarm/open=true");
            fleet.add("orders1", "zone-a", "orders", 2);
            fleet.awaitReady();
            List<Future<double[]>> lowPriorityCounts = new ArrayList<>();
            for (int i = 0; i < LOW_PRIORITY_CLIENTS; i++) {
                lowPriorityCounts.add(clients.submit(() -> sendLowPriorityRequests(fleet.getEntryUri(0), isStopped)));
            }
            int refused = 0;
            for (int i = 0; i < 20; i++) {
                refused +=
                        get(fleet.getEntryUri(0).resolve("/alarm/1?work-ms=5")).statusCode() == 200 ? 0 : 1;
            }
            isStopped.set(true);
            double sent = 0;
            double failed = 0;
            for (Future<double[]> each : lowPriorityCounts) {
                sent += each.get()[0];
                failed += each.get()[1];
            }
            assertTrue(failed > 0, "no low-priority request was refused");
            assertTrue(
                    refused / 20.0 < failed / sent,
                    refused + " critical requests refused; low-priority requests refused: " + failed + " of " + sent);
        } finally {
            isStopped.set(true);
            clients.shutdownNow();
        }
    }

    /** Sends low-priority requests sequentially, and returns the number of sent and of refused requests. */
    private static double[] sendLowPriorityRequests(URI entry, AtomicBoolean isStopped) throws Exception {
        double[] counts = new double[2];
        while (!isStopped.get()) {
            HttpResponse<String> response = get(entry.resolve("/bulk/1?work-ms=50"));
            counts[0]++;
            if (response.statusCode() != 200) {
                counts[1]++;
                assertEquals(503, response.statusCode());
                assertEquals(
                        "not-run", response.headers().firstValue("X-Execution").orElse(""));
                assertTrue(response.headers().firstValue("Retry-After").isPresent());
                Thread.sleep(PAUSE_MS);
            }
        }
        return counts;
    }

    private static HttpResponse<String> get(URI uri) throws Exception {
        return CLIENT.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static CallRequest toCall(String requestId, Priority priority) {
        RequestContext context = new RequestContext(requestId, "acme", "order", priority, true, Optional.empty(), 0);
        return new CallRequest(context, "orders", 1_000, 0, "GET", "/orders/1", List.of(), new byte[0]);
    }
}
