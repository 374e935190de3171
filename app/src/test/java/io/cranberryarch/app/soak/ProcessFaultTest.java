package io.cranberryarch.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests single faults of node processes, each of which needs a real process to be killed or stopped. */
@Timeout(120)
class ProcessFaultTest {

    private static final long START_TIMEOUT_MS = 60_000;
    private static final int REQUEST_COUNT = 20;

    /** Time within which published rules apply to new requests, and an acknowledged leave to all requests. */
    private static final long BOUND_MS = 2_000;

    @TempDir
    Path folder;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Guards against requests at an upstream whose leave was acknowledged: the process that acknowledged it is killed,
     * and the next one learns from a successful health check that there is an upstream.
     */
    @Test
    void acknowledgedLeaveOutlastsTheProcess() throws Exception {
        try (SoakFleet fleet = new SoakFleet(folder, 2)) {
            SoakFleet.SoakNode node = fleet.getNodes().get(0);
            SoakFleet.SoakNode other = fleet.getNodes().get(1);
            awaitServed(node);
            awaitServed(other);
            assertEquals(200, node.getUpstream().leave());
            assertGetsNoRequestsAfterAKill(node, other);
        }
    }

    /**
     * Guards against requests at an upstream whose leave was acknowledged: the store returns from a copy without the
     * record of the leave, and the node is killed before it has written the record again.
     */
    @Test
    void acknowledgedLeaveOutlastsAReturnOfTheStoreFromACopy() throws Exception {
        try (SoakFleet fleet = new SoakFleet(folder, 2)) {
            SoakFleet.SoakNode node = fleet.getNodes().get(0);
            SoakFleet.SoakNode other = fleet.getNodes().get(1);
            awaitServed(node);
            awaitServed(other);
            fleet.getStore().takeCopy();
            assertEquals(200, node.getUpstream().leave());
            fleet.getStore().returnFromCopy();
            assertGetsNoRequestsAfterAKill(node, other);
        }
    }

    /**
     * Guards against decisions by outdated rules of a process that got no processor for some seconds: requests on a
     * new route are denied, and requests with a withdrawn key run.
     */
    @Test
    void processThatStalledDecidesByTheRulesThatWerePublishedMeanwhile() throws Exception {
        String newKey = "key-issued-during-the-stall";
        try (SoakFleet fleet = new SoakFleet(folder, 1)) {
            SoakFleet.SoakNode node = fleet.getNodes().get(0);
            awaitServed(node);
            node.signal("STOP");
            // The pending poll of the node ends without a change.
            Thread.sleep(2 * BOUND_MS);
            fleet.publishRules(newKey, "read", "added");
            Thread.sleep(BOUND_MS + BOUND_MS / 10);
            List<CompletableFuture<HttpResponse<String>>> added = new ArrayList<>();
            List<CompletableFuture<HttpResponse<String>>> withdrawn = new ArrayList<>();
            for (int i = 0; i < REQUEST_COUNT; i++) {
                added.add(send(node, "added-" + i, "/added/added-" + i, newKey));
                withdrawn.add(send(node, "withdrawn-" + i, "/read/withdrawn-" + i, SoakFleet.KEY));
            }
            Thread.sleep(BOUND_MS / 10);
            node.signal("CONT");
            for (int i = 0; i < REQUEST_COUNT; i++) {
                int addedStatus = added.get(i).join().statusCode();
                assertTrue(addedStatus == 200 || addedStatus == 503, "added route: status " + addedStatus);
                assertEquals(401, withdrawn.get(i).join().statusCode(), "withdrawn key");
            }
            assertTrue(fleet.getRuns().keySet().stream().noneMatch(id -> id.startsWith("withdrawn")));
        }
    }

    /** Guards against proper requests that are denied because invalid rules replaced those in force. */
    @Test
    void invalidRulesDoNotReplaceThoseInForce() throws Exception {
        try (SoakFleet fleet = new SoakFleet(folder, 1)) {
            SoakFleet.SoakNode node = fleet.getNodes().get(0);
            awaitServed(node);
            fleet.getStore()
                    .publishRules(fleet.toNextDocument(SoakFleet.KEY, "read").replace("/read/", "read/"));
            await(() -> {
                String logs = fleet.readLogs();
                return logs.contains("event=rules-rejected source=store")
                        || logs.contains("event=rules-changed source=store from=3");
            });
            assertEquals(
                    200,
                    send(node, "read-1", "/read/read-1", SoakFleet.KEY).join().statusCode());
            // A later version is not affected.
            fleet.publishRules(SoakFleet.KEY, "read", "added");
            await(() -> fleet.readLogs().contains("event=rules-changed source=store from=3 to=9"));
        }
    }

    /** Kills the node of an upstream that has left, and checks that the upstream gets no requests after the bound. */
    private void assertGetsNoRequestsAfterAKill(SoakFleet.SoakNode node, SoakFleet.SoakNode other) throws Exception {
        long leftAtMs = System.currentTimeMillis();
        node.restartAfter(node.signal("KILL"));
        await(node::isReady);
        await(() -> System.currentTimeMillis() - leftAtMs > BOUND_MS);
        Set<String> expected = new HashSet<>(node.getUpstream().getLocalRuns());
        awaitServed(node);
        for (int i = 0; i < REQUEST_COUNT; i++) {
            send(node, "late-" + i, "/read/late-" + i, SoakFleet.KEY).join();
            send(other, "other-" + i, "/read/other-" + i, SoakFleet.KEY).join();
        }
        assertEquals(expected, node.getUpstream().getLocalRuns());
    }

    private void awaitServed(SoakFleet.SoakNode node) throws Exception {
        await(() -> {
            String id = "probe-" + System.nanoTime();
            return send(node, id, "/read/" + id, SoakFleet.KEY)
                    .handle((response, failure) -> failure == null && response.statusCode() == 200)
                    .join();
        });
    }

    private CompletableFuture<HttpResponse<String>> send(SoakFleet.SoakNode node, String id, String path, String key) {
        HttpRequest request = HttpRequest.newBuilder(node.toEntry(path))
                .header(SoakUpstream.ID_HEADER, id)
                .header("X-Cranberryarch-Deadline-Ms", "5000")
                .header("Authorization", "Bearer " + key)
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long endMs = System.currentTimeMillis() + START_TIMEOUT_MS;
        while (!condition.call()) {
            if (System.currentTimeMillis() > endMs) {
                throw new AssertionError("condition not met in time");
            }
            Thread.sleep(50);
        }
    }
}
