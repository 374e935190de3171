package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class OverloadDetectorTest {

    private static final List<Integer> RANKS = List.of(0, 2);
    private static final OverloadDetector.Tree BROWSE = new OverloadDetector.Tree("browse", "shop", 2, false);
    private static final OverloadDetector.Tree ORDER = new OverloadDetector.Tree("order", "shop", 0, false);

    private final TestFleet fleet = new TestFleet();
    private final RouteCosts costs = new RouteCosts();
    private final OverloadDetector detector = new OverloadDetector(fleet, costs, new WorkDemand());

    @Test
    void routeWithoutLearnedCostsIsAdmitted() {
        fleet.add("stock", 10, 100);
        assertEquals(Optional.empty(), detector.findOverload(BROWSE, RANKS, 0.99, 1_000));
    }

    @Test
    void treeIsRefusedForTheLoadOfAServiceDeepInItsTree() {
        fleet.add("shop", 10, 0);
        fleet.add("stock", 10, 100);
        costs.record("browse", Map.of("shop", 10.0, "stock", 20.0));
        OverloadDetector.Overload overload =
                detector.findOverload(BROWSE, RANKS, 0.5, 1_000).orElseThrow();
        assertEquals("stock", overload.service());
        assertFalse(overload.isByDemand());
    }

    @Test
    void moreImportantTreeIsAdmittedAtTheSameLoad() {
        fleet.add("shop", 10, 0);
        fleet.add("stock", 100, 200);
        costs.record("browse", Map.of("stock", 20.0));
        costs.record("order", Map.of("stock", 20.0));
        assertTrue(detector.findOverload(BROWSE, RANKS, 0.5, 1_000).isPresent());
        assertTrue(detector.findOverload(ORDER, RANKS, 0.5, 1_000).isEmpty());
    }

    @Test
    void treesBeyondTheCapacityAreRefusedBeforeTheLoadShowsIt() {
        fleet.add("stock", 10, 0);
        fleet.peerDemand.put("2@stock", 19.0);
        costs.record("browse", Map.of("stock", 20.0));
        OverloadDetector.Overload overload =
                detector.findOverload(BROWSE, RANKS, 0.6, 1_000).orElseThrow();
        assertTrue(overload.isByDemand());
        assertEquals(0.5, overload.servedRatio(), 0.01);
        assertTrue(detector.findOverload(BROWSE, RANKS, 0.4, 1_001).isEmpty());
    }

    @Test
    void returningTreeIsPreferred() {
        fleet.add("stock", 10, 0);
        fleet.peerDemand.put("2@stock", 19.0);
        costs.record("browse", Map.of("stock", 20.0));
        OverloadDetector.Tree returning = new OverloadDetector.Tree("browse", "shop", 2, true);
        assertTrue(detector.findOverload(returning, RANKS, 0.9, 1_000).isEmpty());
    }

    @Test
    void treeIsRefusedWithoutAReachableInstanceOfAServiceThatItNeeds() {
        costs.record("browse", Map.of("stock", 20.0));
        assertTrue(detector.findOverload(BROWSE, RANKS, 0, 1_000).isPresent());
    }

    /** Instances with fixed loads, and one peer. */
    private static final class TestFleet implements FleetView {

        private final Map<String, List<InstanceLoad>> instances = new HashMap<>();
        private final Map<String, Double> peerDemand = new HashMap<>();

        private void add(String service, int limit, int inFlight) {
            InstanceLoad load = new InstanceLoad();
            load.onReport(limit, inFlight, 0);
            instances.computeIfAbsent(service, unused -> new ArrayList<>()).add(load);
        }

        @Override
        public void forEachInstance(String service, Consumer<InstanceLoad> consumer) {
            instances.getOrDefault(service, List.of()).forEach(consumer);
        }

        @Override
        public void forEachPeerDemand(Consumer<Map<String, Double>> consumer) {
            consumer.accept(peerDemand);
        }
    }
}
