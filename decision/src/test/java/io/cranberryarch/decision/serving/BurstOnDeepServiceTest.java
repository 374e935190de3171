package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests a traffic burst whose call trees nearly all end in one deep service with capacity for half of them. A browse
 * tree calls the service eight times, an order four times, and a direct read once.
 */
class BurstOnDeepServiceTest {

    private static final Map<String, Double> BROWSE = Map.of("shop", 120.0, "stock", 240.0);
    private static final Map<String, Double> ORDER = Map.of("orders", 160.0, "stock", 120.0);
    private static final Map<String, Double> READ = Map.of("stock", 48.0);
    private static final Map<String, Double> HISTORY = Map.of("archive", 300.0);
    private static final double STOCK_SLOTS = 76;

    @Test
    void importantTreesAreServedCompletelyAndOnlyTheLeastImportantAreRefused() {
        WorkDemand[] nodes = new WorkDemand[16];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new WorkDemand();
        }
        for (long nowMs = 0; nowMs < 4_000; nowMs++) {
            addAt(nodes, nowMs, 2, BROWSE, 420);
            addAt(nodes, nowMs, 0, ORDER, 170);
            addAt(nodes, nowMs, 1, READ, 170);
            addAt(nodes, nowMs, 2, HISTORY, 170);
        }
        SortedMap<Integer, Double> stock = nodes[0].toSlots("stock", 4_000);
        SortedMap<Integer, Double> archive = nodes[0].toSlots("archive", 4_000);
        for (int i = 1; i < nodes.length; i++) {
            Map<String, Double> report = nodes[i].report(4_000);
            WorkDemand.addReported(report, "stock", stock);
            WorkDemand.addReported(report, "archive", archive);
        }
        assertEquals(20.4, stock.get(0), 1);
        assertEquals(1, WorkDemand.toServedRatio(stock, 0, STOCK_SLOTS));
        assertEquals(1, WorkDemand.toServedRatio(stock, 1, STOCK_SLOTS));
        double browse = WorkDemand.toServedRatio(stock, 2, STOCK_SLOTS);
        assertEquals((STOCK_SLOTS - 20.4 - 8.2) / 100.8, browse, 0.08);
        assertEquals(
                1,
                WorkDemand.toServedRatio(archive, 2, 400),
                "requests that do not reach the overloaded service are served");
    }

    @Test
    void treesThatNeedAnUnreachableServiceAreRefusedBeforeTheyRun() {
        WorkDemand demand = new WorkDemand();
        demand.add(0, ORDER, 0);
        assertEquals(0, WorkDemand.toServedRatio(demand.toSlots("stock", 0), 0, 0));
    }

    @Test
    void demandDecaysWhenTheBurstEnds() {
        WorkDemand demand = new WorkDemand();
        for (long nowMs = 0; nowMs < 2_000; nowMs += 10) {
            demand.add(2, BROWSE, nowMs);
        }
        double during = demand.toSlots("stock", 2_000).get(2);
        assertEquals(24, during, 4);
        assertTrue(demand.toSlots("stock", 5_000).get(2) < 0.1 * during);
    }

    @Test
    void ranksOfOtherServicesWithSimilarNamesAreNotMixed() {
        WorkDemand demand = new WorkDemand();
        demand.add(1, Map.of("restock", 500.0), 0);
        SortedMap<Integer, Double> slots = new TreeMap<>();
        WorkDemand.addReported(demand.report(0), "stock", slots);
        assertTrue(slots.isEmpty());
    }

    @Test
    void onlyChangesAndTheEndOfDemandAreReported() {
        WorkDemand demand = new WorkDemand();
        Map<String, Double> received = new HashMap<>();
        int changes = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
            demand.add(2, BROWSE, nowMs);
            if (nowMs % 500 == 0) {
                Map<String, Double> report = demand.report(nowMs);
                changes += report.size();
                received.putAll(report);
            }
        }
        assertTrue(changes < 40 * BROWSE.size() / 2, "constant demand was reported " + changes + " times");
        SortedMap<Integer, Double> own = demand.toSlots("stock", 20_000);
        SortedMap<Integer, Double> reported = new TreeMap<>();
        WorkDemand.addReported(received, "stock", reported);
        assertEquals(own.get(2), reported.get(2), 0.15 * own.get(2));
        for (long nowMs = 20_000; nowMs < 40_000; nowMs += 500) {
            received.putAll(demand.report(nowMs));
        }
        assertTrue(received.values().stream().allMatch(slots -> slots == 0));
        assertTrue(demand.getReported().isEmpty());
    }

    /** Adds requests at a constant rate, distributed round-robin over the nodes. */
    private static void addAt(WorkDemand[] nodes, long nowMs, int rank, Map<String, Double> cost, int perS) {
        long before = nowMs * perS / 1_000;
        long after = (nowMs + 1) * perS / 1_000;
        for (long i = before; i < after; i++) {
            nodes[(int) (i % nodes.length)].add(rank, cost, nowMs);
        }
    }
}
