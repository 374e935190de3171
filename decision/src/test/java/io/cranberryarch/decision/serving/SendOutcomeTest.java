package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SendOutcomeTest {

    @Test
    void onlyWhatCertainlyDidNotRunIsRepeatedUnlessIdempotent() {
        for (SendOutcome outcome : SendOutcome.values()) {
            assertEquals(outcome.isNotRun(), outcome.isRepeatable(false, true), outcome.name());
        }
    }

    @Test
    void failedRunIsRepeatedForANestedCallOnly() {
        assertTrue(SendOutcome.FAILED.isRepeatable(true, true));
        assertFalse(SendOutcome.FAILED.isRepeatable(true, false));
    }

    /** A repeat of the run would make all its calls again, against the budget that its failed call was lacking. */
    @Test
    void runIsNotRepeatedForACallThatItsServiceFailed() {
        assertFalse(SendOutcome.NESTED_CALL_FAILED.isRepeatable(true, true));
        assertFalse(SendOutcome.NESTED_CALL_FAILED.isRepeatable(true, false));
    }

    @Test
    void onlySendsThatReachedAnUpstreamTakeARepeat() {
        assertFalse(SendOutcome.REFUSED.isLimitedByBudget());
        assertTrue(SendOutcome.REJECTED.isLimitedByBudget());
        assertTrue(SendOutcome.LOST.isLimitedByBudget());
    }
}
