package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class InstanceSelectorTest {

    private static final long NOW_MS = 10_000;

    private static Place ofLoad(String name, int limit, int busy) {
        Place place = new Place(name, new InstanceLoad());
        place.load().onReport(limit, busy, 0);
        return place;
    }

    private static String choose(List<Place> near, List<Place> far) {
        return InstanceSelector.choose(near, far, NOW_MS, 5).map(Place::name).orElse("none");
    }

    @Test
    void noInstanceNoChoice() {
        assertEquals(Optional.empty(), InstanceSelector.choose(List.<Place>of(), List.of(), NOW_MS, 1));
    }

    @Test
    void ownZoneGoesFirstWhileItHasRoom() {
        assertEquals("near", choose(List.of(ofLoad("near", 100, 60)), List.of(ofLoad("far", 100, 0))));
    }

    @Test
    void fullZoneSpillsToOneWithRoom() {
        assertEquals("far", choose(List.of(ofLoad("near", 100, 95)), List.of(ofLoad("far", 100, 20))));
    }

    @Test
    void fullZoneKeepsItsRequestsIfOthersAreFullToo() {
        assertEquals("near", choose(List.of(ofLoad("near", 100, 95)), List.of(ofLoad("far", 100, 90))));
    }

    @Test
    void largerInstanceGetsMore() {
        assertEquals("large", choose(List.of(ofLoad("small", 20, 10), ofLoad("large", 100, 20)), List.of()));
    }

    @Test
    void coldInstanceCountsAsSmaller() {
        Place cold = ofLoad("cold", 100, 30);
        cold.load().setColdUntilMs(NOW_MS + 1_000);
        assertEquals("warm", choose(List.of(cold, ofLoad("warm", 100, 40)), List.of()));
    }

    @Test
    void failingInstanceIsLeftUntilItsFailuresFade() {
        Place failing = ofLoad("failing", 100, 0);
        for (int i = 0; i < 10; i++) {
            failing.load().onEnd(true, NOW_MS);
        }
        List<Place> near = List.of(failing, ofLoad("sound", 100, 50));
        assertEquals("sound", choose(near, List.of()));
        Optional<Place> later = InstanceSelector.choose(near, List.of(), NOW_MS + 20_000, 5);
        assertEquals("failing", later.orElseThrow().name());
    }

    @Test
    void instanceThatFailsFastDoesNotDrawRequestsBecauseItLooksIdle() {
        Place failing = ofLoad("failing", 100, 0);
        failing.load().onReport(100, 0, 0.45);
        assertEquals("sound", choose(List.of(failing, ofLoad("sound", 100, 80)), List.of()));
    }

    @Test
    void instancesThatAllFailShareTheRequests() {
        Place one = ofLoad("one", 100, 0);
        one.load().onReport(100, 50, 0.45);
        Place two = ofLoad("two", 100, 0);
        two.load().onReport(100, 20, 0.45);
        assertEquals("two", choose(List.of(one, two), List.of()));
    }

    @Test
    void requestsSentSinceTheLastReportCount() {
        Place place = ofLoad("place", 10, 2);
        double before = place.load().toCost(NOW_MS);
        place.load().onSend();
        assertTrue(place.load().toCost(NOW_MS) > before);
        assertEquals(3, place.load().getBusy());
    }

    @Test
    void otherZonesServeAZoneWithoutInstances() {
        assertEquals("far", choose(List.of(), List.of(ofLoad("far", 100, 90))));
    }

    @Test
    void capacityIsTheLimitLessWhatTheUpstreamFails() {
        InstanceLoad load = new InstanceLoad();
        load.onReport(100, 0, 0.4);
        assertEquals(60, load.toCapacity(NOW_MS), 1e-9);
        load.setColdUntilMs(NOW_MS + 1);
        assertEquals(30, load.toCapacity(NOW_MS), 1e-9);
        assertEquals(60, load.toCapacity(NOW_MS + 1), 1e-9);
    }

    @Test
    void costIsOneForTheLastFreeSlot() {
        assertEquals(1, ofLoad("place", 100, 99).load().toCost(NOW_MS), 1e-9);
    }

    private record Place(String name, InstanceLoad load) implements InstanceSelector.Candidate {

        @Override
        public InstanceLoad getLoad() {
            return load;
        }
    }
}
