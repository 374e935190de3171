package io.cranberryarch.experiment.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A burst of call trees at a deep service that has lost an instance, while another one is slow. */
class BurstOnReducedLeafTest {

    private static final String SCENARIO = "burst-on-reduced-leaf";

    @Test
    void importantTreesAreServedAlmostCompletely() throws Exception {
        for (ServingResults results : ScenarioFixture.run(SCENARIO)) {
            assertTrue(results.toWorth("order") > 0.98, "orders " + results.toWorth("order"));
        }
    }

    @Test
    void treesAreRefusedBeforeTheyRunRatherThanFailing() throws Exception {
        List<ServingResults> with = ScenarioFixture.run(SCENARIO);
        List<ServingResults> without = ScenarioFixture.run(SCENARIO, Mechanism.DEMAND_SHEDDING);
        assertTrue(ScenarioFixture.mean(with, ServingResults::getWastedMs)
                < 0.1 * ScenarioFixture.mean(without, ServingResults::getWastedMs));
        assertTrue(ScenarioFixture.mean(with, ServingResults::toWorth)
                > ScenarioFixture.mean(without, ServingResults::toWorth));
    }

    @Test
    void queuesThatOutlastTheEstimateOfDemandAreCorrectedByLoad() throws Exception {
        assertTrue(ScenarioFixture.mean(ScenarioFixture.run(SCENARIO), ServingResults::toWorth)
                > ScenarioFixture.mean(
                        ScenarioFixture.run(SCENARIO, Mechanism.LOAD_SHEDDING), ServingResults::toWorth));
    }
}
