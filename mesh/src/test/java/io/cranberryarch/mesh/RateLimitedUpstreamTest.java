package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.HttpExchange;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that an upstream which names the rate of requests that it takes gets no more. */
class RateLimitedUpstreamTest {

    private static final String LIMIT_HEADER = TestHeaderNames.NAMES.rateLimit();
    private static final double RATE_PER_S = 8;
    private static final int WAVE_COUNT = 20;

    /** Fewer than the slots of an upstream, so that no request is refused for lack of them. */
    private static final int REQUESTS_PER_WAVE = 10;

    /** How far the rate of arrivals may exceed the named rate, as a ratio and as a number of requests. */
    private static final double MAX_RATE_RATIO = 1.5;

    private static final int MAX_ADDITIONAL_REQUESTS = 5;

    /** Guards against an upstream in need that gets its usual share of the requests, as the limit that it names is not read. */
    @Test
    void upstreamGetsNoMoreRequestsThanItTakes() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member limited = fleet.add("node-a", "zone-a");
            TestFleet.Member other = fleet.add("node-b", "zone-a");
            fleet.publish(1);
            fleet.start();
            nameLimit(limited, String.valueOf(RATE_PER_S));
            awaitLimitPassedOn(fleet, other);
            int arrivedBefore = limited.upstream().getArrived().size();
            long startMs = System.currentTimeMillis();
            for (int wave = 0; wave < WAVE_COUNT; wave++) {
                List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
                for (int i = 0; i < REQUESTS_PER_WAVE; i++) {
                    responses.add(fleet.send(i % 2 == 0 ? limited : other, "GET", "/read/" + i, "key-of-ana"));
                }
                for (CompletableFuture<HttpResponse<String>> response : responses) {
                    assertEquals(200, TestFleet.get(response).statusCode());
                }
            }
            double elapsedS = (System.currentTimeMillis() - startMs) / 1_000.0;
            int arrived = limited.upstream().getArrived().size() - arrivedBefore;
            double allowed = MAX_RATE_RATIO * RATE_PER_S * elapsedS + MAX_ADDITIONAL_REQUESTS;
            assertTrue(arrived <= allowed, arrived + " requests in " + elapsedS + " s, allowed " + allowed);
        }
    }

    /**
     * Guards against a limit that is lost with the process of the node: the next one sends the upstream all requests that
     * it has slots for, until the first response, while another node has passed on the limit to its callers.
     */
    @Test
    void restartedNodeKnowsTheLimitBeforeTheUpstreamResponds() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member limited = fleet.add("node-a", "zone-a");
            TestFleet.Member other = fleet.add("node-b", "zone-a");
            fleet.publish(1);
            fleet.start();
            nameLimit(limited, "0.5");
            awaitLimitPassedOn(fleet, other);
            limited.close();
            TestFleet.Member restarted = fleet.add("node-a", "zone-a");
            restarted.upstream().setBehaviour(exchange -> {});
            fleet.start(restarted);
            fleet.awaitLine("event=instance-changed peer=node-a .*accepting=true");
            AtomicInteger served = new AtomicInteger();
            for (int i = 0; i < 3 * REQUESTS_PER_WAVE; i++) {
                fleet.send(other, "GET", "/read/" + i, "key-of-ana").thenRun(served::incrementAndGet);
            }
            List<HttpExchange> arrived = restarted.upstream().getArrived();
            TestFleet.await(() -> served.get() + arrived.size() >= 3 * REQUESTS_PER_WAVE);
            assertTrue(arrived.size() <= MAX_ADDITIONAL_REQUESTS, arrived.size() + " requests");
        }
    }

    /** Guards against a limit that never ends, as other instances are preferred and no response can end it. */
    @Test
    void upstreamThatNamesNoLimitAnymoreGetsItsShareAgain() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member limited = fleet.add("node-a", "zone-a");
            TestFleet.Member other = fleet.add("node-b", "zone-a");
            fleet.publish(1);
            fleet.start();
            nameLimit(limited, "0");
            awaitLimitPassedOn(fleet, other);
            TestUpstream upstream = limited.upstream();
            upstream.setBehaviour(exchange -> upstream.respond(exchange, 200, "recovered"));
            TestFleet.await(() -> {
                int arrivedBefore = upstream.getArrived().size();
                List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
                for (int i = 0; i < REQUESTS_PER_WAVE; i++) {
                    responses.add(fleet.send(other, "GET", "/read/" + i, "key-of-ana"));
                }
                for (CompletableFuture<HttpResponse<String>> response : responses) {
                    assertEquals(200, TestFleet.get(response).statusCode());
                }
                return upstream.getArrived().size() - arrivedBefore > 1;
            });
        }
    }

    /** Guards against requests that fail because their upstream names a limit which is no number. */
    @Test
    void limitThatIsNoNumberIsIgnored() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            for (String limit : List.of("-1", "NaN", "1e999", "abc", "", "9".repeat(4_000), "1.", "Infinity")) {
                nameLimit(member, limit);
                for (int i = 0; i < REQUESTS_PER_WAVE; i++) {
                    CompletableFuture<HttpResponse<String>> response =
                            fleet.send(member, "GET", "/read/" + i, "key-of-ana");
                    assertEquals(200, TestFleet.get(response).statusCode(), limit);
                }
            }
        }
    }

    /** Waits until a node has passed on a response that names a limit. */
    private static void awaitLimitPassedOn(TestFleet fleet, TestFleet.Member entry) throws Exception {
        TestFleet.await(() -> TestFleet.get(fleet.send(entry, "GET", "/read/first", "key-of-ana"))
                .headers()
                .firstValue(LIMIT_HEADER)
                .isPresent());
    }

    private static void nameLimit(TestFleet.Member member, String limit) {
        TestUpstream upstream = member.upstream();
        upstream.setBehaviour(
                exchange -> upstream.respond(exchange, 200, "limited", new HeaderField(LIMIT_HEADER, limit)));
    }
}
