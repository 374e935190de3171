package io.cranberryarch.experiment.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RateExperimentTest {

    private static final double STEADY_RATIO = 0.001;
    private static final double KILLED_RATIO = 0.01;

    @ParameterizedTest
    @EnumSource(names = {"EVEN", "ONE_INSTANCE", "WANDERING", "ZONE_CUT"})
    void hardlyAnyCallWithinTheRateIsRefused(RateScenario scenario) {
        assertRefused(scenario, STEADY_RATIO);
    }

    @Test
    void fewCallsWithinTheRateAreRefusedWhenANodeIsKilled() {
        assertRefused(RateScenario.NODE_KILLED, KILLED_RATIO);
    }

    private static void assertRefused(RateScenario scenario, double ratio) {
        RateOutcome sum = RateOutcome.NONE;
        for (RateLoad load : RateExperiment.NORMAL) {
            sum = sum.plus(RateExperiment.run(load, scenario));
        }
        assertTrue(sum.within() > 100_000, sum.toString());
        assertTrue(sum.toRefusedRatio() <= ratio, scenario + " " + sum);
    }
}
