package io.cranberryarch.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.BiPredicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class MembershipTest {

    private static final int MAX_CONVERGENCE_ROUNDS = 40;
    private static final int MAX_HEALING_ROUNDS = 80;
    private static final int MAX_DETECTION_ROUNDS = 25;

    @Property(tries = 40, seed = "11")
    void stoppedMembersAreDetectedWithinBoundedRoundsAndOthersAreNot(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int zones) {
        SimulatedCluster cluster = toConverged(seed, zones, 6);
        cluster.kill("n1");
        cluster.kill("n" + (zones + 1));
        assertTrue(
                cluster.run(MAX_DETECTION_ROUNDS, () -> cluster.isInStateEverywhere("n1", MemberState.GONE)) >= 0,
                "stopped members were not detected");
        assertTrue(cluster.run(1, cluster::isConverged) >= 0, "running members were declared gone");
    }

    @Property(tries = 40, seed = "12")
    void healedPartitionBetweenZonesConvergesWithoutRestoringStoppedMembers(@ForAll long seed) {
        assertHeals(
                toConverged(seed, 3, 5),
                (from, to) -> from.zone().equals("z0") && !to.zone().equals("z0"));
    }

    @Property(tries = 40, seed = "15")
    void healedPartitionInsideAZoneConvergesWithoutRestoringStoppedMembers(@ForAll long seed) {
        assertHeals(toConverged(seed, 1, 12), (from, to) -> isEven(from) != isEven(to));
    }

    @Test
    void partitionedZoneIsNotDeclaredGone() {
        SimulatedCluster cluster = toConverged(3, 3, 5);
        cluster.setPartition(
                (from, to) -> from.zone().equals("z0") && !to.zone().equals("z0"));
        cluster.run(100, () -> false);
        assertEquals(15, SimulatedCluster.toServing(cluster.get("n0")).size());
        assertEquals(15, SimulatedCluster.toServing(cluster.get("n1")).size());
    }

    @Property(tries = 20, seed = "13")
    void lossyLinksDoNotPermanentlyRemoveRunningMembers(@ForAll long seed) {
        SimulatedCluster cluster = toConverged(seed, 2, 8);
        Random random = new Random(seed);
        cluster.setPartition((from, to) -> random.nextInt(10) == 0);
        cluster.run(100, () -> false);
        cluster.setPartition((from, to) -> false);
        assertTrue(cluster.run(MAX_CONVERGENCE_ROUNDS, cluster::isConverged) >= 0);
    }

    @Property(tries = 20, seed = "14")
    void leavingReachesAllMembersBeforeTheNextRound(@ForAll long seed) {
        SimulatedCluster cluster = toConverged(seed, 4, 10);
        Membership leaving = cluster.get("n7");
        leaving.setSelf(leaving.getSelf().toState(MemberState.DRAINING), cluster.nowMs());
        cluster.propagateChanges();
        assertTrue(cluster.isInStateEverywhere("n7", MemberState.DRAINING));
    }

    @Test
    void newerProcessReplacesTheOlderOnePermanently() {
        SimulatedCluster cluster = toConverged(5, 2, 5);
        Membership old = cluster.kill("n3");
        cluster.start("n3", 2, "z1");
        assertTrue(cluster.run(MAX_CONVERGENCE_ROUNDS, cluster::isConverged) >= 0);
        old.onDelta(cluster.get("n0").toJoinMessage(), cluster.nowMs());
        MemberDelta joinMessage = cluster.get("n3").toJoinMessage();
        old.onDelta(joinMessage, cluster.nowMs());
        assertTrue(old.isReplaced());
        assertFalse(old.getSelf().state().isServing());
        cluster.get("n0").onDelta(old.toJoinMessage(), cluster.nowMs());
        assertEquals(2, cluster.get("n0").getTable().find("n3").orElseThrow().incarnation());
    }

    @Test
    void goneMembersAreRemovedAfterTheRetention() {
        SimulatedCluster cluster = toConverged(6, 1, 4);
        cluster.kill("n2");
        cluster.run(MAX_DETECTION_ROUNDS, () -> false);
        MemberTable table = cluster.get("n0").getTable();
        assertEquals(4, table.getAll().size());
        table.expire(cluster.nowMs() + Membership.GONE_RETENTION_MS);
        assertEquals(3, table.getAll().size());
    }

    private static void assertHeals(SimulatedCluster cluster, BiPredicate<Member, Member> partition) {
        cluster.setPartition(partition);
        cluster.kill("n4");
        cluster.run(60, () -> false);
        cluster.setPartition((from, to) -> false);
        assertTrue(cluster.run(MAX_HEALING_ROUNDS, cluster::isConverged) >= 0, "not converged");
        assertEquals(
                -1, cluster.run(MAX_CONVERGENCE_ROUNDS, () -> !cluster.isConverged()), "a stopped member was restored");
    }

    private static boolean isEven(Member member) {
        return Integer.parseInt(member.instance().substring(1)) % 2 == 0;
    }

    private static SimulatedCluster toConverged(long seed, int zones, int perZone) {
        SimulatedCluster cluster = new SimulatedCluster(seed, zones, perZone);
        assertTrue(
                cluster.run(MAX_CONVERGENCE_ROUNDS, cluster::isConverged) >= 0, "the initial state did not converge");
        return cluster;
    }
}
