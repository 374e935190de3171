package io.cranberryarch.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FairShareTest {

    @Property(tries = 500, seed = "1")
    void capacityIsUsedAndNoDemandGetsLessThanItsWeightedShare(
            @ForAll @Size(min = 1, max = 10) List<@IntRange(max = 100) Integer> amounts,
            @ForAll @IntRange(min = 1, max = 200) int capacity) {
        List<FairShare.Demand> demands = new ArrayList<>();
        double total = 0;
        double weights = 0;
        for (int i = 0; i < amounts.size(); i++) {
            demands.add(new FairShare.Demand(amounts.get(i), 1 + i % 3));
            total += amounts.get(i);
            weights += 1 + i % 3;
        }
        double share = FairShare.toShare(demands, capacity);
        double totalGranted = 0;
        for (FairShare.Demand demand : demands) {
            double granted = Math.min(demand.amount(), share * demand.weight());
            assertTrue(granted >= Math.min(demand.amount(), capacity * demand.weight() / weights) - 1e-9);
            totalGranted += granted;
        }
        assertEquals(Math.min(total, capacity), totalGranted, 1e-9);
    }
}
