package io.cranberryarch.experiment.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A deep service rejects about half of its calls at all instances, and a tree makes four of them in turn. */
class RejectingLeafTest {

    private static final String SCENARIO = "rejecting-leaf";

    @Test
    void importantTreesAreServedBeforeOthers() throws Exception {
        List<ServingResults> runs = ScenarioFixture.run(SCENARIO);
        double orders = ScenarioFixture.mean(runs, results -> results.toWorth("order"));
        double browsing = ScenarioFixture.mean(runs, results -> results.toWorth("browse"));
        assertTrue(orders > browsing, orders + " of the orders, " + browsing + " of the browsing");
    }

    @Test
    void requestsThatDoNotNeedTheServiceAreNotAffected() throws Exception {
        for (ServingResults results : ScenarioFixture.run(SCENARIO)) {
            assertTrue(results.toWorth("history") > 0.99, "history " + results.toWorth("history"));
        }
    }

    @Test
    void repeatsStayWithinTheBudgetOfTheFleet() throws Exception {
        for (ServingResults results : ScenarioFixture.run(SCENARIO)) {
            assertTrue(results.toMaxBudgetUse() <= 1, "used " + results.toMaxBudgetUse());
        }
    }

    @Test
    void repeatsOfLaterCallsServeMoreThanThoseOfAnyCall() throws Exception {
        assertHelps(Mechanism.PROGRESS_RESERVE);
    }

    @Test
    void repeatsForImportantRanksServeMoreThanThoseForAnyRank() throws Exception {
        assertHelps(Mechanism.RANK_RESERVE);
    }

    @Test
    void failedCallsThatAreNotRepeatedFurtherUpServeMore() throws Exception {
        assertHelps(Mechanism.FINAL_CALL_FAILURES);
    }

    private static void assertHelps(Mechanism mechanism) throws Exception {
        double with = ScenarioFixture.mean(ScenarioFixture.run(SCENARIO), ServingResults::toWorth);
        double without = ScenarioFixture.mean(ScenarioFixture.run(SCENARIO, mechanism), ServingResults::toWorth);
        assertTrue(with > without, with + " with " + mechanism.toText() + ", " + without + " without");
    }
}
