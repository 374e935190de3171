package io.cranberryarch.experiment.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A deep service runs its calls and loses three of ten answers. */
class LostAnswersOfLeafTest {

    private static final String SCENARIO = "lost-answers-of-leaf";

    /** Calls of a run that is repeated count as repeats of the deep service, where nobody can refuse them any more. */
    @Test
    void repeatsStayWithinTheBudgetOfTheFleet() throws Exception {
        for (ServingResults results : ScenarioFixture.run(SCENARIO)) {
            assertTrue(results.toMaxBudgetUse() <= 1, "used " + results.toMaxBudgetUse());
        }
    }

    @Test
    void repeatsAtTheCallServeMoreThanRepeatsOfItsRun() throws Exception {
        List<ServingResults> with = ScenarioFixture.run(SCENARIO);
        List<ServingResults> without = ScenarioFixture.run(SCENARIO, Mechanism.FINAL_CALL_FAILURES);
        assertTrue(ScenarioFixture.mean(with, ServingResults::toWorth)
                > ScenarioFixture.mean(without, ServingResults::toWorth));
        assertTrue(ScenarioFixture.mean(with, results -> results.countRepeats("archive"))
                < ScenarioFixture.mean(without, results -> results.countRepeats("archive")));
    }
}
