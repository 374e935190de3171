package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamReportServiceTest {

    private static final String ACKNOWLEDGED = "event=leave-acknowledged instance=instance-of-node-a recorded=";

    private final TestFleet fleet = new TestFleet();
    private TestFleet.Member member;

    @BeforeEach
    void start() throws Exception {
        fleet.publish(1);
        member = fleet.add("node-a", "zone-a");
        fleet.start();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    /** Starts a process of the node that has not received a report, and whose upstream succeeds in health checks. */
    private TestFleet.Member restart() throws Exception {
        TestFleet.Member restarted = fleet.add("node-a", "zone-a");
        restarted.node().start();
        restarted.thread().start();
        TestFleet.await(() -> restarted.getReadinessStatus() == 200);
        return restarted;
    }

    private void assertGetsNoRequests(TestFleet.Member left) throws Exception {
        assertEquals(
                503,
                TestFleet.get(fleet.send(left, "GET", "/read/1", "key-of-ana")).statusCode());
        assertEquals(0, left.upstream().getArrived().size());
    }

    /** Guards against requests at an upstream whose leave an earlier process of the node has acknowledged. */
    @Test
    void acknowledgedLeaveIsKnownToTheNextProcess() throws Exception {
        member.leave();
        fleet.awaitLine(ACKNOWLEDGED + "true");
        member.close();
        TestFleet.Member restarted = restart();
        fleet.awaitLine("event=upstream-changed reason=probed .* leaving=true");
        assertGetsNoRequests(restarted);
    }

    /** Guards against a planned stop that a leaving upstream gets no acknowledgement in, as the store is away. */
    @Test
    void leaveIsAcknowledgedWithoutTheStoreAndRecordedOnceItResponds() throws Exception {
        member.store().setUnavailable(true);
        member.leave();
        fleet.awaitLine(ACKNOWLEDGED + "false");
        fleet.awaitLine("event=leave-not-recorded");
        member.store().setUnavailable(false);
        fleet.awaitLine("event=leaves-recorded");
        member.close();
        TestFleet.Member restarted = restart();
        fleet.awaitLine("event=upstream-changed reason=probed .* leaving=true");
        assertGetsNoRequests(restarted);
    }

    /** Guards against an upstream that is used after a successful health check while earlier leaves are unknown. */
    @Test
    void upstreamIsNotProbedBeforeEarlierLeavesAreKnown() throws Exception {
        TestFleet.Member restarted = fleet.add("node-b", "zone-a");
        restarted.store().setLeavesUnavailable(true);
        restarted.node().start();
        restarted.thread().start();
        TestFleet.await(() -> restarted.getReadinessStatus() == 200);
        fleet.awaitLine("event=leaves-unreadable");
        assertEquals(
                0,
                fleet.getLines().stream()
                        .filter(line -> line.contains("instance=instance-of-node-b"))
                        .count());
        restarted.report(1, false);
        fleet.awaitLine("event=upstream-changed reason=new-incarnation instance=instance-of-node-b");
    }

    @Test
    void laterIncarnationUnderTheSameIdentifierIsUsedAfterARestart() throws Exception {
        member.leave();
        member.close();
        TestFleet.Member restarted = restart();
        UpstreamReport report = new UpstreamReport("instance-of-node-a", 2, 1, "stock", 20, false, 0);
        restarted.loop().execute(() -> restarted.node().getReports().onReport(report, () -> {}));
        TestFleet.await(() -> TestFleet.get(fleet.send(restarted, "GET", "/read/1", "key-of-ana"))
                        .statusCode()
                == 200);
    }
}
