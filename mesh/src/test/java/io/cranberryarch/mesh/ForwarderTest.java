package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class ForwarderTest extends TwoNodesTest {

    @Test
    void idempotentRequestIsRepeatedElsewhereWhenItsAnswerIsLost() throws Exception {
        near.upstream().setBehaviour(TwoNodesTest::answerWithoutIdentifier);
        HttpResponse<String> answer = send("GET", "/read/7", KEY);
        assertEquals("instance-of-node-b", answer.body());
    }

    @Test
    void requestThatMayHaveRunIsNotRepeatedUnlessIdempotent() throws Exception {
        near.upstream().setBehaviour(TwoNodesTest::answerWithoutIdentifier);
        HttpResponse<String> answer = send("POST", "/order/7", KEY);
        assertEquals(502, answer.statusCode());
        assertEquals(0, far.upstream().getArrived().size());
    }

    @Test
    void noRequestRunsOnMoreInstancesThanItsRouteAllows() throws Exception {
        TestFleet.Member third = fleet.add("node-c", "zone-a");
        fleet.start(third);
        TestFleet.await(() -> near.metrics().contains("peers_connected 2"));
        for (int i = 0; i < 40; i++) {
            send("GET", "/read/" + i, KEY);
        }
        List<TestFleet.Member> members = List.of(near, far, third);
        int countBefore = countArrived(members);
        // The first instance to receive the request responds without an identifier; all others do not respond.
        AtomicBoolean isFirst = new AtomicBoolean(true);
        for (TestFleet.Member member : members) {
            member.upstream().setBehaviour(exchange -> {
                if (isFirst.getAndSet(false)) {
                    answerWithoutIdentifier(exchange);
                }
            });
        }
        assertEquals(504, send("GET", "/read/x", KEY).statusCode());
        assertEquals(2, countArrived(members) - countBefore);
    }

    private static int countArrived(List<TestFleet.Member> members) {
        int count = 0;
        for (TestFleet.Member member : members) {
            count += member.upstream().getArrived().size();
        }
        return count;
    }

    @Test
    void rejectedRequestRunsElsewhereAlsoIfNotIdempotent() throws Exception {
        near.upstream().setBehaviour(near.upstream()::reject);
        HttpResponse<String> answer = send("POST", "/order/7", KEY);
        assertEquals(200, answer.statusCode());
        assertEquals("instance-of-node-b", answer.body());
    }

    @Test
    void requestRejectedEverywhereIsAnsweredAsNotRun() throws Exception {
        near.upstream().setBehaviour(near.upstream()::reject);
        far.upstream().setBehaviour(far.upstream()::reject);
        HttpResponse<String> answer = send("POST", "/order/7", KEY);
        assertEquals(503, answer.statusCode());
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    }
}
