package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteCostsTest {

    private final RouteCosts costs = new RouteCosts();

    @Test
    void deepServiceIsUsedOnlyByRoutesThatReachIt() {
        for (int i = 0; i < 50; i++) {
            costs.record("browse", Map.of("shop", 100.0, "stock", 240.0));
            costs.record("history", Map.of("archive", 300.0));
        }
        assertTrue(costs.isUsed("browse", "stock"));
        assertFalse(costs.isUsed("history", "stock"));
        assertEquals(240, costs.get("browse").get("stock"), 1);
    }

    @Test
    void serviceThatIsNoLongerUsedIsRemoved() {
        costs.record("browse", Map.of("stock", 240.0));
        for (int i = 0; i < 200; i++) {
            costs.record("browse", Map.of("shop", 100.0));
        }
        assertFalse(costs.isUsed("browse", "stock"));
        assertTrue(costs.isUsed("browse", "shop"));
    }

    @Test
    void costsOfRemovedRoutesAreRemoved() {
        costs.record("browse", Map.of("stock", 240.0));
        costs.retain(Set.of("history"));
        assertTrue(costs.get("browse").isEmpty());
    }
}
