package io.cranberryarch.experiment.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RateExperimentTest {

    private static final double MAX_REFUSED_RATIO = 0.001;
    private static final double MAX_REFUSED_RATIO_NODE_KILLED = 0.01;

    @ParameterizedTest
    @EnumSource(names = {"EVEN", "ONE_INSTANCE", "WANDERING", "ZONE_CUT"})
    void atMostOneInAThousandCallsWithinTheRateIsRefused(RateScenario scenario) {
        assertRefused(scenario, MAX_REFUSED_RATIO);
    }

    @Test
    void atMostOneInAHundredCallsWithinTheRateIsRefusedWhenANodeIsKilled() {
        assertRefused(RateScenario.NODE_KILLED, MAX_REFUSED_RATIO_NODE_KILLED);
    }

    private static void assertRefused(RateScenario scenario, double ratio) {
        RateOutcome sum = RateOutcome.NONE;
        for (RateLoad load : RateExperiment.NORMAL_LOADS) {
            sum = sum.plus(RateExperiment.run(load, scenario));
        }
        assertTrue(sum.withinRate() > 100_000, sum.toString());
        assertTrue(sum.toRefusedRatio() <= ratio, scenario + " " + sum);
    }
}
