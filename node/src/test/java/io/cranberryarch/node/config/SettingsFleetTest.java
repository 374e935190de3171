package io.cranberryarch.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.ChangeRequest;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.ErrorBody;
import io.cranberryarch.api.StatusBody;
import io.cranberryarch.base.Digests;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.node.Node;
import io.cranberryarch.standin.PlatformFaults;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.SettingsSnapshots;
import io.cranberryarch.store.WithdrawalStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SettingsFleetTest {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final int NODE_COUNT = 12;
    private static final PlatformFaults DOWN = new PlatformFaults(true, 0, false);
    private static final PlatformFaults RESPONSES_LOST = new PlatformFaults(false, 0, true);

    private FleetFixture fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture();
        for (int i = 0; i < NODE_COUNT; i++) {
            fleet.add("n" + i, i % 2 == 0 ? "zone-a" : "zone-b", i < 2 ? "orders" : "history", 10);
        }
        fleet.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void withdrawalIsInForceEverywhereWhileThePlatformIsDownAndIsNeverUndone() throws Exception {
        assertEquals(200, call(3));
        fleet.getPlatform().setFaults(DOWN);
        long startMs = System.currentTimeMillis();
        assertEquals(
                200,
                send(fleet.getAdminUri(0), "POST", "/v1/withdraw?key=k1", "").statusCode());
        FleetFixture.await(() -> allNodes(node -> call(node) == 401));
        System.out.println("measured withdrawal_ms=" + (System.currentTimeMillis() - startMs) + " nodes=" + NODE_COUNT);
        fleet.add("late", "zone-a", "history", 10);
        FleetFixture.await(() -> call(NODE_COUNT) == 401);
        fleet.getPlatform().setFaults(PlatformFaults.NONE);
        WithdrawalStore store = new WithdrawalStore(fleet.getPlatform().getPlatform());
        FleetFixture.await(() -> {
            try {
                return store.readAll().contains("k1");
            } catch (PlatformException e) {
                return false;
            }
        });
        HttpResponse<String> again = change(5, "again", "/teams/shop/keys/k1/sha256", "0".repeat(64));
        assertEquals(400, again.statusCode(), again.body());
        assertEquals(401, call(7));
        for (int i = 0; i < NODE_COUNT; i++) {
            assertEquals(0, fleet.getUpstream(i).getCredentialCount());
        }
    }

    @Test
    void changeTakesEffectOnAllNodesAndOneOfConcurrentChangesIsAccepted() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        long startMs = System.currentTimeMillis();
        for (int i = 0; i < NODE_COUNT; i++) {
            String rate = String.valueOf(100 + i);
            int node = i;
            responses.add(CompletableFuture.supplyAsync(
                    () -> change(node, "race-" + rate, "/teams/shop/accounts/acme/rate", rate)));
        }
        int accepted = 0;
        for (CompletableFuture<HttpResponse<String>> pending : responses) {
            HttpResponse<String> response = pending.join();
            if (response.statusCode() == 200) {
                accepted++;
            } else {
                assertEquals(409, response.statusCode(), response.body());
                String detail = ApiJson.MAPPER
                        .readValue(response.body(), ErrorBody.class)
                        .details()
                        .get(0);
                assertTrue(detail.endsWith("version 2 by owner"), detail);
            }
        }
        assertEquals(1, accepted);
        FleetFixture.await(() -> allNodes(node -> version(node) == 2));
        System.out.println("measured settings_ms=" + (System.currentTimeMillis() - startMs) + " nodes=" + NODE_COUNT);
    }

    @Test
    void changesOfDifferentTeamsDoNotConflict() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            int node = i;
            responses.add(CompletableFuture.supplyAsync(() -> change(
                    node, "team-" + node, "/teams/t" + node + "/operators/o/sha256", Digests.toSha256Hex("o" + node))));
        }
        for (CompletableFuture<HttpResponse<String>> pending : responses) {
            assertEquals(200, pending.join().statusCode(), pending.join().body());
        }
        FleetFixture.await(() -> allNodes(node -> version(node) == 1 + NODE_COUNT));
    }

    @Test
    void commitWithLostResponseIsResolvedAfterLaterChanges() throws Exception {
        fleet.getPlatform().setFaults(RESPONSES_LOST);
        HttpResponse<String> lost = change(0, "lost", "/teams/shop/accounts/acme/rate", "55");
        assertEquals(503, lost.statusCode(), lost.body());
        fleet.getPlatform().setFaults(PlatformFaults.NONE);
        HttpResponse<String> first = change(0, "lost", "/teams/shop/accounts/acme/rate", "55");
        assertEquals(200, first.statusCode(), first.body());
        long version = ApiJson.MAPPER.readValue(first.body(), ChangeBody.class).version();
        FleetFixture.await(() -> allNodes(node -> version(node) == version));
        assertEquals(
                200,
                change(4, "next", "/teams/shop/accounts/acme/rate", "66", version)
                        .statusCode());
        HttpResponse<String> again = change(1, "lost", "/teams/shop/accounts/acme/rate", "55");
        assertEquals(
                version,
                ApiJson.MAPPER.readValue(again.body(), ChangeBody.class).version());
        FleetFixture.await(() -> allNodes(node -> version(node) == version + 1));
    }

    @Test
    void newNodeReceivesSettingsFromPeersDuringAnOutageAndIgnoresADamagedSnapshot() throws Exception {
        fleet.getPlatform().getPlatform().put("settings/snapshot", "{damaged".getBytes(StandardCharsets.UTF_8));
        assertTrue(
                new SettingsSnapshots(fleet.getPlatform().getPlatform()).read().isEmpty());
        assertEquals(200, change(0, "c", "/teams/shop/accounts/acme/rate", "77").statusCode());
        Node early = fleet.add("early", "zone-b", "history", 10);
        FleetFixture.await(early::isReady);
        fleet.getPlatform().setFaults(DOWN);
        fleet.add("late", "zone-b", "history", 10);
        URI entry = fleet.getEntryUri(NODE_COUNT + 1);
        FleetFixture.await(
                () -> send(entry, "GET", "/history/1", "k1.wrong", "").statusCode() == 401);
        assertEquals(2, version(NODE_COUNT));
        assertEquals(2, version(NODE_COUNT + 1));
        assertEquals(200, send(entry, "GET", "/open/1", "", "").statusCode());
    }

    @Test
    void invalidBodiesAreRejectedWithTheReason() throws Exception {
        String edit = "{\"path\":\"/teams/shop/accounts/acme/rate\",\"value\":\"1\"}";
        assertRejected("", "no change");
        assertRejected("null", "no change");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":\"x\",\"edits\":[" + edit + "]}", "no change");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":1,\"extra\":1,\"edits\":[" + edit + "]}", "extra");
        assertRejected("{\"changeId\":\"\",\"baseVersion\":1,\"edits\":[" + edit + "]}", "changeId");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":-1,\"edits\":[" + edit + "]}", "baseVersion");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":1,\"edits\":[]}", "edits");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":1,\"edits\":[null]}", "path");
        assertRejected("{\"changeId\":\"a\",\"baseVersion\":1,\"edits\":[{\"value\":\"1\"}]}", "path");
        HttpResponse<String> large = change(0, "large", "/teams/shop/routes/order/kind", "x".repeat(1_001));
        assertEquals(400, large.statusCode());
        assertTrue(large.body().contains("1000 characters"), large.body());
        assertEquals(1, version(0));
    }

    private void assertRejected(String body, String detail) {
        HttpResponse<String> response = send(fleet.getAdminUri(0), "POST", "/v1/settings", body);
        assertEquals(400, response.statusCode(), response.body());
        assertTrue(response.body().contains(detail), response.body());
    }

    private boolean allNodes(IntPredicate condition) {
        for (int i = 0; i < NODE_COUNT; i++) {
            if (!condition.test(i)) {
                return false;
            }
        }
        return true;
    }

    private int call(int node) {
        return send(fleet.getEntryUri(node), "GET", "/history/1", FleetFixture.KEY, "")
                .statusCode();
    }

    private long version(int node) {
        try {
            String body = send(fleet.getAdminUri(node), "GET", "/v1/status", "").body();
            return ApiJson.MAPPER.readValue(body, StatusBody.class).settingsVersion();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private HttpResponse<String> change(int node, String id, String path, String value) {
        return change(node, id, path, value, 1);
    }

    private HttpResponse<String> change(int node, String id, String path, String value, long base) {
        try {
            ChangeRequest request = new ChangeRequest(id, base, List.of(new EditBody(path, value)));
            return send(fleet.getAdminUri(node), "POST", "/v1/settings", ApiJson.MAPPER.writeValueAsString(request));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static HttpResponse<String> send(URI target, String method, String path, String body) {
        return send(target, method, path, FleetFixture.OWNER_TOKEN, body);
    }

    private static HttpResponse<String> send(URI target, String method, String path, String token, String body) {
        HttpRequest request = HttpRequest.newBuilder(target.resolve(path))
                .header("Authorization", "Bearer " + token)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
