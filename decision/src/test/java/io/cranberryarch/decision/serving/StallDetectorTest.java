package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StallDetectorTest {

    private final StallDetector detector = new StallDetector(10_000);

    @Test
    void turnsWithinTheIntervalAreNoStall() {
        for (long nowMs = 10_000; nowMs < 20_000; nowMs += StallDetector.CHECK_INTERVAL_MS) {
            assertEquals(Optional.empty(), detector.onTurn(nowMs));
        }
    }

    @Test
    void lateTurnIsAStallOnce() {
        assertEquals(Optional.of(2_000L), detector.onTurn(12_000));
        assertEquals(Optional.empty(), detector.onTurn(12_001));
    }

    @Test
    void shortDelayIsNoStall() {
        assertEquals(Optional.empty(), detector.onTurn(10_749));
        assertEquals(Optional.of(750L), detector.onTurn(11_499));
    }
}
