package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LatencyEstimateTest {

    @Test
    void nothingIsOverdueBeforeEnoughSamples() {
        LatencyEstimate estimate = new LatencyEstimate();
        estimate.record(10, true);
        assertEquals(Long.MAX_VALUE, estimate.toOverdueMs());
    }

    @Test
    void overdueLatencyIsFarAboveTheMean() {
        LatencyEstimate estimate = new LatencyEstimate();
        for (int i = 0; i < 200; i++) {
            estimate.record(i % 2 == 0 ? 20 : 40, true);
        }
        assertEquals(30, estimate.getMeanMs(), 3);
        assertTrue(estimate.toOverdueMs() >= 85 && estimate.toOverdueMs() <= 120, "" + estimate.toOverdueMs());
    }
}
