package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class InstanceSelectorTest {

    private static final long NOW_MS = 10_000;

    private static TestInstance createInstance(String name, int limit, int inFlight) {
        TestInstance instance = new TestInstance(name, new InstanceLoad());
        instance.load().onReport(limit, inFlight, 0);
        return instance;
    }

    private static String choose(List<TestInstance> local, List<TestInstance> remote) {
        return InstanceSelector.choose(local, remote, NOW_MS, 5)
                .map(TestInstance::name)
                .orElse("none");
    }

    @Test
    void noInstanceIsSelectedFromNone() {
        assertEquals(Optional.empty(), InstanceSelector.choose(List.<TestInstance>of(), List.of(), NOW_MS, 1));
    }

    @Test
    void localZoneIsPreferredWhileItHasCapacity() {
        assertEquals("near", choose(List.of(createInstance("near", 100, 60)), List.of(createInstance("far", 100, 0))));
    }

    @Test
    void fullZoneSpillsToZoneWithCapacity() {
        assertEquals("far", choose(List.of(createInstance("near", 100, 95)), List.of(createInstance("far", 100, 20))));
    }

    @Test
    void fullZoneKeepsItsRequestsIfOtherZonesAreFull() {
        assertEquals("near", choose(List.of(createInstance("near", 100, 95)), List.of(createInstance("far", 100, 90))));
    }

    @Test
    void largerInstanceIsPreferredAtLowerUtilization() {
        assertEquals(
                "large", choose(List.of(createInstance("small", 20, 10), createInstance("large", 100, 20)), List.of()));
    }

    @Test
    void coldInstanceHasReducedLimit() {
        TestInstance cold = createInstance("cold", 100, 30);
        cold.load().setColdStartEndMs(NOW_MS + 1_000);
        assertEquals("warm", choose(List.of(cold, createInstance("warm", 100, 40)), List.of()));
    }

    @Test
    void failingInstanceIsAvoidedUntilItsFailuresDecay() {
        TestInstance failing = createInstance("failing", 100, 0);
        for (int i = 0; i < 10; i++) {
            failing.load().onEnd(true, NOW_MS);
        }
        List<TestInstance> local = List.of(failing, createInstance("sound", 100, 50));
        assertEquals("sound", choose(local, List.of()));
        Optional<TestInstance> later = InstanceSelector.choose(local, List.of(), NOW_MS + 20_000, 5);
        assertEquals("failing", later.orElseThrow().name());
    }

    @Test
    void fastFailingInstanceIsNotPreferredForItsLowLoad() {
        TestInstance failing = createInstance("failing", 100, 0);
        failing.load().onReport(100, 0, 0.45);
        assertEquals("sound", choose(List.of(failing, createInstance("sound", 100, 80)), List.of()));
    }

    @Test
    void leastLoadedInstanceIsSelectedIfAllFail() {
        TestInstance one = createInstance("one", 100, 0);
        one.load().onReport(100, 50, 0.45);
        TestInstance two = createInstance("two", 100, 0);
        two.load().onReport(100, 20, 0.45);
        assertEquals("two", choose(List.of(one, two), List.of()));
    }

    @Test
    void requestsSentSinceTheLastReportCount() {
        TestInstance instance = createInstance("place", 10, 2);
        double before = instance.load().toCost(NOW_MS);
        instance.load().onSend();
        assertTrue(instance.load().toCost(NOW_MS) > before);
        assertEquals(3, instance.load().getInFlight());
    }

    @Test
    void remoteInstanceIsSelectedIfTheLocalZoneHasNone() {
        assertEquals("far", choose(List.of(), List.of(createInstance("far", 100, 90))));
    }

    @Test
    void capacityIsTheLimitLessUpstreamFailures() {
        InstanceLoad load = new InstanceLoad();
        load.onReport(100, 0, 0.4);
        assertEquals(60, load.toCapacity(NOW_MS), 1e-9);
        load.setColdStartEndMs(NOW_MS + 1);
        assertEquals(30, load.toCapacity(NOW_MS), 1e-9);
        assertEquals(60, load.toCapacity(NOW_MS + 1), 1e-9);
    }

    @Test
    void costIsOneForTheLastFreeSlot() {
        assertEquals(1, createInstance("place", 100, 99).load().toCost(NOW_MS), 1e-9);
    }

    private record TestInstance(String name, InstanceLoad load) implements InstanceSelector.Candidate {

        @Override
        public InstanceLoad getLoad() {
            return load;
        }
    }
}
