package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.context.HeaderField;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that an upstream which states in its responses that it leaves gets no more requests. */
class LeavingUpstreamTest {

    private static final String LEAVING_HEADER = TestHeaderNames.NAMES.leaving();
    private static final int WAVE_COUNT = 5;

    /** Enough at once that they do not all go to the same of two instances. */
    private static final int REQUESTS_PER_WAVE = 10;

    /** Guards against requests at an upstream that has stated in a response, but not in a report, that it leaves. */
    @Test
    void upstreamThatStatesInAResponseThatItLeavesGetsNoMoreRequests() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member leaving = fleet.add("node-a", "zone-a");
            TestFleet.Member other = fleet.add("node-b", "zone-a");
            fleet.publish(1);
            fleet.start();
            passOnLeave(fleet, leaving, other);
            assertNoFurtherRequests(fleet, leaving, other);
            // Reports of the same incarnation do not end the leave.
            leaving.report(2, false);
            assertNoFurtherRequests(fleet, leaving, other);
        }
    }

    /**
     * Guards against a leave that is lost with the process of the node, as the store did not respond when it was stated,
     * while another node has passed on the response.
     */
    @Test
    void restartedNodeKnowsTheLeaveFromTheNodeThatPassedItOn() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member leaving = fleet.add("node-a", "zone-a");
            TestFleet.Member other = fleet.add("node-b", "zone-a");
            fleet.publish(1);
            fleet.start();
            leaving.store().setUnavailable(true);
            passOnLeave(fleet, leaving, other);
            leaving.close();
            TestFleet.Member restarted = fleet.add("node-a", "zone-a");
            fleet.start(restarted);
            fleet.awaitLine("event=upstream-changed reason=leave-restored");
            assertNoFurtherRequests(fleet, restarted, other);
            assertNoFurtherRequests(fleet, restarted, restarted);
        }
    }

    /** Guards against a sound upstream out of use, as another one that answered at its address states that it leaves. */
    @Test
    void leaveStatedByAnotherInstanceIsNotThatOfTheUpstream() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            TestUpstream upstream = member.upstream();
            upstream.setBehaviour(exchange ->
                    upstream.respond(exchange, 421, "", new HeaderField(LEAVING_HEADER, HeaderNames.LEAVING)));
            HttpResponse<String> refused = TestFleet.get(fleet.send(member, "GET", "/read/first", "key-of-ana"));
            assertEquals(503, refused.statusCode());
            upstream.setBehaviour(exchange -> upstream.respond(exchange, 200, "served"));
            member.report(2, false);
            TestFleet.await(() -> TestFleet.get(fleet.send(member, "GET", "/read/second", "key-of-ana"))
                            .statusCode()
                    == 200);
        }
    }

    private static void passOnLeave(TestFleet fleet, TestFleet.Member leaving, TestFleet.Member entry)
            throws Exception {
        TestUpstream upstream = leaving.upstream();
        upstream.setBehaviour(exchange ->
                upstream.respond(exchange, 200, "leaving", new HeaderField(LEAVING_HEADER, HeaderNames.LEAVING)));
        TestFleet.await(() -> TestFleet.get(fleet.send(entry, "GET", "/read/first", "key-of-ana"))
                .headers()
                .firstValue(LEAVING_HEADER)
                .isPresent());
    }

    private static void assertNoFurtherRequests(TestFleet fleet, TestFleet.Member left, TestFleet.Member entry)
            throws Exception {
        int arrivedBefore = left.upstream().getArrived().size();
        for (int wave = 0; wave < WAVE_COUNT; wave++) {
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < REQUESTS_PER_WAVE; i++) {
                responses.add(fleet.send(entry, "GET", "/read/" + i, "key-of-ana"));
            }
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertEquals(200, TestFleet.get(response).statusCode());
            }
        }
        assertEquals(arrivedBefore, left.upstream().getArrived().size());
    }
}
