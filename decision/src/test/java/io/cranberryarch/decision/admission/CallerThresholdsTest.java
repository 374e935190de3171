package io.cranberryarch.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.settings.Priority;
import org.junit.jupiter.api.Test;

class CallerThresholdsTest {

    private static final CallerThresholds.Key KEY = new CallerThresholds.Key("orders", "order", "acme");

    @Test
    void reportedThresholdIsAppliedAndRisesUnlessConfirmed() {
        CallerThresholds thresholds = new CallerThresholds();
        for (int i = 0; i < 50; i++) {
            thresholds.update(KEY, 100, i);
        }
        assertEquals(100, thresholds.toThreshold(KEY, 50), 2);
        assertEquals(AdmissionLevel.LEVELS, thresholds.toThreshold(new CallerThresholds.Key("a", "b", "c"), 50));
        assertTrue(thresholds.toThreshold(KEY, 1_050) > 200);
        assertEquals(AdmissionLevel.LEVELS, thresholds.toThreshold(KEY, 5_050));
    }

    @Test
    void importantRequestsHaveLowerLevelsAndNestedCallsHaveSlack() {
        for (int i = 0; i < 200; i++) {
            String requestId = "request" + i;
            int level = AdmissionLevel.of(Priority.HIGH, requestId);
            assertTrue(AdmissionLevel.of(Priority.CRITICAL, requestId) < level);
            assertTrue(AdmissionLevel.of(Priority.NORMAL, requestId) > level);
            assertTrue(AdmissionLevel.isRefused(level, level, false));
            assertTrue(!AdmissionLevel.isRefused(level, level, true));
        }
    }
}
