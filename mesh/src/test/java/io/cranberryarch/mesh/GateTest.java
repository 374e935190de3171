package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class GateTest {

    /** The limit of an upstream with 20 slots, of which one is reserved. */
    private static final int LIMIT = 19;

    /**
     * Guards against waiting requests that are never refused. The node is otherwise idle while they wait, so that only
     * the gate's own timer can end them.
     */
    @Test
    void requestsThatWaitTooLongForASlotAreRefusedAsNotRun() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            member.upstream().setBehaviour(exchange -> {});
            List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
            for (int i = 0; i < LIMIT; i++) {
                running.add(fleet.send(member, "GET", "/read/1", "key-of-ana"));
            }
            TestFleet.await(() -> member.upstream().getArrived().size() == LIMIT);
            for (int round = 0; round < 2; round++) {
                HttpResponse<String> refused = TestFleet.get(fleet.send(member, "GET", "/read/1", "key-of-ana", "600"));
                assertEquals(503, refused.statusCode());
                assertTrue(refused.body().contains("overloaded"), refused.body());
                assertTrue(refused.body().contains("not-run"), refused.body());
            }
            assertEquals(LIMIT, member.upstream().getArrived().size());
            assertTrue(running.stream().noneMatch(CompletableFuture::isDone));
        }
    }
}
