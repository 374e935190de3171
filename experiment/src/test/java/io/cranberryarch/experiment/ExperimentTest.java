package io.cranberryarch.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.settings.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the overload targets on the model, which is deterministic. */
class ExperimentTest {

    private static final long SEED = 1;
    private static final double MIN_GOODPUT_RATIO = 0.9;
    private static final long MAX_RECOVERY_MS = 5_000;
    private static final double MIN_FAIR_SHARE_RATIO = 0.8;

    @Test
    void goodputOfAChainOfTenMeetsTheTargetAtEveryLoad() {
        assertAtEveryLoad(load -> Experiment.chainUnderLoad(load, SEED));
    }

    @Test
    void goodputOfATreeMeetsTheTargetAtEveryLoad() {
        assertAtEveryLoad(load -> Experiment.treeUnderLoad(load, SEED));
    }

    @Test
    void goodputRecoversAfterASurgeOrSlowdown() {
        List.of(Experiment.surge(SEED), Experiment.slowDeepService(SEED)).parallelStream()
                .forEach(scenario -> {
                    RunResults results = Experiment.run(scenario, Policy.CRANBERRYARCH);
                    assertTrue(results.toRecoveryMs().orElse(Long.MAX_VALUE) <= MAX_RECOVERY_MS);
                    assertTrue(results.toGoodput()
                            > Experiment.run(scenario, Policy.NONE).toGoodput());
                });
    }

    @Test
    void worstServedAccountReceivesItsShareWhileOneSendsTenTimesItsRate() {
        List.of(0, 7).parallelStream().forEach(index -> {
            Scenario scenario = Experiment.accountOverRate(index, SEED);
            double minRatio = Experiment.run(scenario, Policy.CRANBERRYARCH).toMinFairShareRatio();
            assertTrue(minRatio >= MIN_FAIR_SHARE_RATIO, "worst share " + minRatio);
            assertTrue(minRatio > Experiment.run(scenario, Policy.FIXED_LIMIT).toMinFairShareRatio());
        });
    }

    @Test
    void equalSeedsGiveEqualResults() {
        Scenario scenario = Experiment.chainUnderLoad(1.5, SEED);
        double first = Experiment.run(scenario, Policy.CRANBERRYARCH).toGoodput();
        assertEquals(first, Experiment.run(scenario, Policy.CRANBERRYARCH).toGoodput());
    }

    private static void assertAtEveryLoad(java.util.function.DoubleFunction<Scenario> scenarios) {
        Experiment.LOADS.parallelStream().forEach(load -> {
            Scenario scenario = scenarios.apply(load);
            RunResults results = Experiment.run(scenario, Policy.CRANBERRYARCH);
            assertTrue(results.toGoodput() >= MIN_GOODPUT_RATIO, "load " + load + " goodput " + results.toGoodput());
            assertPriorityOrder(load, results);
            if (load >= 2) {
                double baseline = Math.max(
                        Experiment.run(scenario, Policy.NONE).toGoodput(),
                        Experiment.run(scenario, Policy.FIXED_LIMIT).toGoodput());
                assertTrue(results.toGoodput() > baseline, "load " + load + " baseline " + baseline);
            }
        });
    }

    /**
     * Asserts that requests of lower priority fail at least as often as those of higher priority, and that hardly any
     * fail if the demand of their own and all higher priorities is well within the capacity.
     */
    private static void assertPriorityOrder(double load, RunResults results) {
        Priority[] priorities = Priority.values();
        double[] cumulativeDemand = {0.1, 0.3, 0.7, 1};
        for (int i = 0; i < priorities.length; i++) {
            double failed = results.toFailureRatio(priorities[i]);
            boolean isWithinCapacity = load * cumulativeDemand[i] <= 0.8;
            assertTrue(!isWithinCapacity || failed <= 0.05, "load " + load + " " + priorities[i] + " failed " + failed);
        }
        for (int i = 1; i < priorities.length; i++) {
            double higher = results.toFailureRatio(priorities[i - 1]);
            double lower = results.toFailureRatio(priorities[i]);
            assertTrue(higher <= lower + 0.02, "load " + load + " " + priorities[i]);
        }
    }
}
