package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.HeaderField;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that an upstream which names the rate of requests that it takes gets no more. */
class RateLimitedUpstreamTest {

    private static final String LIMIT_HEADER = "Test-Rate-Limit";
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
            // Both entries pass on a response that names the limit.
            for (TestFleet.Member member : List.of(limited, other)) {
                TestFleet.await(() -> {
                    HttpResponse<String> response =
                            TestFleet.get(fleet.send(member, "GET", "/read/first", "key-of-ana"));
                    return response.headers().firstValue(LIMIT_HEADER).isPresent();
                });
            }
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

    private static void nameLimit(TestFleet.Member member, String limit) {
        TestUpstream upstream = member.upstream();
        upstream.setBehaviour(
                exchange -> upstream.respond(exchange, 200, "limited", new HeaderField(LIMIT_HEADER, limit)));
    }
}
