package io.cranberryarch.mesh;

import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpResponseMessage;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Two nodes in different availability zones, each with an upstream of the same service. */
abstract class TwoNodesTest {

    static final String KEY = "key-of-ana";

    final TestFleet fleet = new TestFleet();
    TestFleet.Member near;
    TestFleet.Member far;

    @BeforeEach
    void start() throws Exception {
        near = fleet.add("node-a", "zone-a");
        far = fleet.add("node-b", "zone-b");
        fleet.publish(1);
        fleet.start();
        TestFleet.await(() -> near.metrics().contains("peers_connected 1"));
        // A peer counts as connected after its hello; the state of its upstream follows in a status.
        fleet.awaitLine("event=instance-changed peer=node-b .*accepting=true");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    HttpResponse<String> send(String method, String path, String key) throws Exception {
        return TestFleet.get(fleet.send(near, method, path, key));
    }

    /** Sends a request and waits until the upstream of the near node runs it. */
    Run startRun() throws Exception {
        CompletableFuture<HttpExchange> running = new CompletableFuture<>();
        near.upstream().setBehaviour(running::complete);
        CompletableFuture<HttpResponse<String>> answer = fleet.send(near, "GET", "/read/7", KEY);
        return new Run(answer, TestFleet.get(running));
    }

    /** Sends a response without the identifier that assigns it to a request. */
    static void answerWithoutIdentifier(HttpExchange exchange) {
        exchange.respond(new HttpResponseMessage(200, List.of(), new byte[0]));
    }

    /**
     * A request that runs at the upstream of the near node.
     *
     * @param answer the answer to the caller
     * @param exchange the request at the upstream
     */
    record Run(CompletableFuture<HttpResponse<String>> answer, HttpExchange exchange) {}
}
