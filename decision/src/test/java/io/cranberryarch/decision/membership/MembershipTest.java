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

    private static final int SETTLE_ROUNDS = 40;
    private static final int HEAL_ROUNDS = 80;
    private static final int DETECTION_ROUNDS = 25;

    @Property(tries = 40, seed = "11")
    void deadMembersAreDetectedWithinBoundedRoundsAndOthersAreNot(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int zones) {
        SimulatedCluster net = toSettled(seed, zones, 6);
        net.kill("n1");
        net.kill("n" + (zones + 1));
        assertTrue(
                net.run(DETECTION_ROUNDS, () -> net.isKnownAs("n1", MemberState.GONE)) >= 0,
                "the dead are not detected");
        assertTrue(net.run(1, net::isConverged) >= 0, "others were judged too");
    }

    @Property(tries = 40, seed = "12")
    void healedCutBetweenZonesConvergesWithoutBringingTheDeadBack(@ForAll long seed) {
        assertHeals(
                toSettled(seed, 3, 5),
                (from, to) -> from.zone().equals("z0") && !to.zone().equals("z0"));
    }

    @Property(tries = 40, seed = "15")
    void healedCutInsideAZoneConvergesWithoutBringingTheDeadBack(@ForAll long seed) {
        assertHeals(toSettled(seed, 1, 12), (from, to) -> isEven(from) != isEven(to));
    }

    @Test
    void cutZoneIsNotTakenForGone() {
        SimulatedCluster net = toSettled(3, 3, 5);
        net.setCut((from, to) -> from.zone().equals("z0") && !to.zone().equals("z0"));
        net.run(100, () -> false);
        assertEquals(15, SimulatedCluster.toServing(net.get("n0")).size());
        assertEquals(15, SimulatedCluster.toServing(net.get("n1")).size());
    }

    @Property(tries = 20, seed = "13")
    void lossyLinksBringNoFalseDeathThatSticks(@ForAll long seed) {
        SimulatedCluster net = toSettled(seed, 2, 8);
        Random random = new Random(seed);
        net.setCut((from, to) -> random.nextInt(10) == 0);
        net.run(100, () -> false);
        net.setCut((from, to) -> false);
        assertTrue(net.run(SETTLE_ROUNDS, net::isConverged) >= 0);
    }

    @Property(tries = 20, seed = "14")
    void leavingIsKnownEverywhereBeforeTheNextRound(@ForAll long seed) {
        SimulatedCluster net = toSettled(seed, 4, 10);
        Membership leaving = net.get("n7");
        leaving.setSelf(leaving.getSelf().toState(MemberState.DRAINING), net.nowMs());
        net.spreadNews();
        assertTrue(net.isKnownAs("n7", MemberState.DRAINING));
    }

    @Test
    void newerProcessReplacesTheOlderOneForGood() {
        SimulatedCluster net = toSettled(5, 2, 5);
        Membership old = net.kill("n3");
        net.start("n3", 2, "z1");
        assertTrue(net.run(SETTLE_ROUNDS, net::isConverged) >= 0);
        old.onDelta(net.get("n0").toJoinMessage(), net.nowMs());
        MemberDelta told = net.get("n3").toJoinMessage();
        old.onDelta(told, net.nowMs());
        assertTrue(old.isReplaced());
        assertFalse(old.getSelf().state().isServing());
        net.get("n0").onDelta(old.toJoinMessage(), net.nowMs());
        assertEquals(2, net.get("n0").getTable().find("n3").orElseThrow().incarnation());
    }

    @Test
    void goneMembersAreForgottenAfterTheRetention() {
        SimulatedCluster net = toSettled(6, 1, 4);
        net.kill("n2");
        net.run(DETECTION_ROUNDS, () -> false);
        MemberTable table = net.get("n0").getTable();
        assertEquals(4, table.getAll().size());
        table.expire(net.nowMs() + Membership.GONE_RETENTION_MS);
        assertEquals(3, table.getAll().size());
    }

    private static void assertHeals(SimulatedCluster net, BiPredicate<Member, Member> cut) {
        net.setCut(cut);
        net.kill("n4");
        net.run(60, () -> false);
        net.setCut((from, to) -> false);
        assertTrue(net.run(HEAL_ROUNDS, net::isConverged) >= 0, "not converged");
        assertEquals(-1, net.run(SETTLE_ROUNDS, () -> !net.isConverged()), "a dead member came back");
    }

    private static boolean isEven(Member member) {
        return Integer.parseInt(member.instance().substring(1)) % 2 == 0;
    }

    private static SimulatedCluster toSettled(long seed, int zones, int perZone) {
        SimulatedCluster net = new SimulatedCluster(seed, zones, perZone);
        assertTrue(net.run(SETTLE_ROUNDS, net::isConverged) >= 0, "the start did not converge");
        return net;
    }
}
