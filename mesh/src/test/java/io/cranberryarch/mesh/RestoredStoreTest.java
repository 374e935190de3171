package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that what a node has written and relies on is written again once the store has returned from an older copy. */
class RestoredStoreTest {

    /** Guards against a node that nodes which start later do not find, as its entry was lost with the return. */
    @Test
    void entryOfTheNodeIsWrittenAgain() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            fleet.getStore().restore();
            TestFleet.await(() -> fleet.getStore().hasPeer("node-a"));
        }
    }

    /**
     * Guards against requests at an upstream whose leave was acknowledged: the record of the leave was lost with the
     * return of the store, and the next process of the node does not know of it.
     */
    @Test
    void acknowledgedLeaveIsRecordedAgain() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            member.leave();
            List<UpstreamIncarnation> recorded = fleet.getStore().getLeaves("node-a");
            assertEquals(1, recorded.size());
            fleet.getStore().restore();
            TestFleet.await(() -> fleet.getStore().getLeaves("node-a").equals(recorded));
        }
    }
}
