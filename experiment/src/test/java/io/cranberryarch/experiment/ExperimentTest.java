package io.cranberryarch.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.settings.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Holds the targets for overload on the model, which gives the same figures on every run. */
class ExperimentTest {

    private static final long SEED = 1;
    private static final double GOODPUT_TARGET = 0.9;
    private static final long RECOVERY_TARGET_MS = 5_000;
    private static final double WORST_SHARE_TARGET = 0.8;

    @Test
    void goodputOfAChainOfTenHoldsAtEveryLoad() {
        assertAtEveryLoad(load -> Experiment.toLoad(load, SEED));
    }

    @Test
    void goodputOfATreeHoldsAtEveryLoad() {
        assertAtEveryLoad(load -> Experiment.toTreeLoad(load, SEED));
    }

    @Test
    void overloadEndsWhenItsEventEnds() {
        List.of(Experiment.toSurge(SEED), Experiment.toSlowDeep(SEED)).parallelStream()
                .forEach(scenario -> {
                    RunResults outcomes = Experiment.run(scenario, Policy.CRANBERRYARCH);
                    assertTrue(outcomes.toRecoveryMs().orElse(Long.MAX_VALUE) <= RECOVERY_TARGET_MS);
                    assertTrue(outcomes.toGoodput()
                            > Experiment.run(scenario, Policy.NONE).toGoodput());
                });
    }

    @Test
    void worstServedAccountKeepsItsShareWhileOneSendsTenTimesItsRate() {
        List.of(0, 7).parallelStream().forEach(index -> {
            Scenario scenario = Experiment.toOneOver(index, SEED);
            double worst = Experiment.run(scenario, Policy.CRANBERRYARCH).toWorstShare();
            assertTrue(worst >= WORST_SHARE_TARGET, "worst share " + worst);
            assertTrue(worst > Experiment.run(scenario, Policy.FIXED_LIMIT).toWorstShare());
        });
    }

    @Test
    void sameSeedGivesTheSameFigures() {
        Scenario scenario = Experiment.toLoad(1.5, SEED);
        double first = Experiment.run(scenario, Policy.CRANBERRYARCH).toGoodput();
        assertEquals(first, Experiment.run(scenario, Policy.CRANBERRYARCH).toGoodput());
    }

    private static void assertAtEveryLoad(java.util.function.DoubleFunction<Scenario> scenarios) {
        Experiment.LOADS.parallelStream().forEach(load -> {
            Scenario scenario = scenarios.apply(load);
            RunResults outcomes = Experiment.run(scenario, Policy.CRANBERRYARCH);
            assertTrue(outcomes.toGoodput() >= GOODPUT_TARGET, "load " + load + " goodput " + outcomes.toGoodput());
            assertOrder(load, outcomes);
            if (load >= 2) {
                double baseline = Math.max(
                        Experiment.run(scenario, Policy.NONE).toGoodput(),
                        Experiment.run(scenario, Policy.FIXED_LIMIT).toGoodput());
                assertTrue(outcomes.toGoodput() > baseline, "load " + load + " baseline " + baseline);
            }
        });
    }

    /** Less important requests fail more often, and those that fit well together with more important ones do not. */
    private static void assertOrder(double load, RunResults outcomes) {
        Priority[] priorities = Priority.values();
        double[] demandUpTo = {0.1, 0.3, 0.7, 1};
        for (int i = 0; i < priorities.length; i++) {
            double failed = outcomes.toShedShare(priorities[i]);
            boolean isFitting = load * demandUpTo[i] <= 0.8;
            assertTrue(!isFitting || failed <= 0.05, "load " + load + " " + priorities[i] + " failed " + failed);
        }
        for (int i = 1; i < priorities.length; i++) {
            double higher = outcomes.toShedShare(priorities[i - 1]);
            double lower = outcomes.toShedShare(priorities[i]);
            assertTrue(higher <= lower + 0.02, "load " + load + " " + priorities[i]);
        }
    }
}
