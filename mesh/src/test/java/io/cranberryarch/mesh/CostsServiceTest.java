package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.RouteCostsMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A day that begins with a burst, or a fleet all of whose nodes were killed at once: nobody knows any route. */
class CostsServiceTest {

    private static final int NODES = 95;
    private static final Map<String, Double> BROWSE = Map.of("stock", 744.0);

    @Test
    void whatTheFirstNodeLearnsIsKnownToAllBeforeTheirOwnRequestsEnd() throws Exception {
        List<RouteCosts> known = new ArrayList<>();
        List<CostsService> services = new ArrayList<>();
        List<Message> sent = new ArrayList<>();
        try (EventLoop loop = new EventLoop(Clock.system())) {
            for (int i = 0; i < NODES; i++) {
                RouteCosts costs = new RouteCosts();
                known.add(costs);
                CostsService service = new CostsService(loop, costs);
                services.add(service);
                service.setBroadcast(message -> {
                    sent.add(message);
                    services.stream()
                            .filter(other -> other != service)
                            .forEach(other -> other.onCosts((RouteCostsMessage) message));
                });
            }
            for (CostsService service : services) {
                service.record("browse", BROWSE);
            }
        }
        assertEquals(1, sent.size());
        for (RouteCosts costs : known) {
            assertEquals(BROWSE, costs.get("browse"));
        }
    }
}
