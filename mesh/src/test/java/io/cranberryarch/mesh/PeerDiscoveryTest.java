package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.context.PeerInfo;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerDiscoveryTest {

    private final TestFleet fleet = new TestFleet();

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void nodeWithoutStoreDiscoversPeersThroughFirstConnection() throws Exception {
        fleet.publish(1);
        TestFleet.Member first = fleet.add("node-a", "zone-a");
        TestFleet.Member second = fleet.add("node-b", "zone-b");
        fleet.start(first, second);
        TestFleet.Member isolated = fleet.add("node-c", "zone-a");
        isolated.store().setRegistryUnavailable(true);
        // Started without waiting: the node is not ready before it has the list of nodes.
        isolated.node().start();
        isolated.thread().start();
        TestFleet.await(() -> isolated.metrics().contains("rules_version 1"));
        assertEquals(503, isolated.getReadinessStatus());
        TestFleet.Member late = fleet.add("node-d", "zone-b");
        fleet.start(late);
        TestFleet.await(() -> isolated.metrics().contains("peers_connected 3"));
        TestFleet.await(() -> isolated.getReadinessStatus() == 200);
    }

    /** Guards against a node that finds no peer because the address of another one in the list is malformed. */
    @Test
    void malformedAddressInTheListIsLeftOut() throws Exception {
        fleet.publish(1);
        fleet.addToList(new PeerInfo("node-0", "zone-a", "nowhere"));
        TestFleet.Member first = fleet.add("node-a", "zone-a");
        TestFleet.Member second = fleet.add("node-b", "zone-b");
        fleet.start(first, second);
        TestFleet.await(() -> first.metrics().contains("peers_connected 1"));
        fleet.awaitLine("event=peer-ignored peer=node-0");
    }

    /** Guards against a node that stops following the list of nodes because one entry names what is no address. */
    @Test
    void oddAddressesInTheListDoNotHideTheOthers() throws Exception {
        fleet.publish(1);
        List<String> addresses = List.of(
                "999.1.1.1:7000",
                "feed:7000",
                "10.0.0.1:0",
                "0.0.0.0:0",
                "255.255.255.255:9",
                ":::80",
                "[::1:80",
                "1:2:3:4:5:6:7:8:9:80",
                "10.0.0.1:99999",
                "10.0.0.1:-1",
                "10.0.0.1:99999999999999999999",
                "z".repeat(40_000) + ":1");
        for (int i = 0; i < addresses.size(); i++) {
            fleet.addToList(new PeerInfo("node-" + i, "zone-a", addresses.get(i)));
        }
        TestFleet.Member first = fleet.add("node-a", "zone-a");
        TestFleet.Member second = fleet.add("node-b", "zone-b");
        fleet.start(first, second);
        TestFleet.await(() -> first.metrics().contains("peers_connected 1"));
        TestFleet.await(() -> second.metrics().contains("peers_connected 1"));
    }

    @Test
    void lateNodeReceivesUnchangedUpstreams() throws Exception {
        fleet.publish(1);
        TestFleet.Member first = fleet.add("node-a", "zone-a");
        fleet.start(first);
        TestFleet.Member second = fleet.add("node-b", "zone-b");
        fleet.start(second);
        String line = "event=instance-changed peer=node-a instance=instance-of-node-a service=stock accepting=true";
        fleet.awaitLine(line);
        fleet.awaitLine("event=instance-changed peer=node-b instance=instance-of-node-b service=stock accepting=true");
    }
}
