package io.cranberryarch.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class InstanceRouterTest {

    private static final int CALLS = 4_000;

    private final ManualClock clock = new ManualClock(1_000);
    private final InstanceRouter router = new InstanceRouter("self", "a");

    @Property(tries = 30, seed = "21")
    void fastFailingInstanceThatReportsNoLoadReceivesFewCalls(@ForAll long seed) {
        List<Member> members = List.of(member("a1", "a", 1), member("a2", "a", 1), member("a3", "a", 1));
        Map<String, Integer> counts = run(
                members,
                seed,
                name -> name.equals("a1") ? CallOutcome.FAILED : CallOutcome.ANSWERED,
                name -> name.equals("a1") ? 1 : 20);
        assertTrue(counts.getOrDefault("a1", 0) < CALLS / 20, counts.toString());
    }

    @Property(tries = 30, seed = "22")
    void slowInstanceThatReportsNoLoadReceivesFewerCalls(@ForAll long seed) {
        List<Member> members = List.of(member("a1", "a", 1), member("a2", "a", 1), member("a3", "a", 1));
        Map<String, Integer> counts =
                run(members, seed, name -> CallOutcome.ANSWERED, name -> name.equals("a1") ? 200 : 20);
        assertTrue(counts.getOrDefault("a1", 0) < CALLS / 6, counts.toString());
    }

    @Test
    void notAllInstancesAreEjected() {
        List<Member> members = List.of(member("a1", "a", 1), member("a2", "a", 1), member("b1", "b", 1));
        run(members, 1, name -> CallOutcome.FAILED, name -> 5);
        assertTrue(router.choose(members, Set.of(), clock.monotonicMs(), 7).isPresent());
    }

    @Test
    void localZoneIsPreferredAndUnreachableZoneIsAvoided() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            members.add(member("b" + i, "b", 1));
            members.add(member("c" + i, "c", 1));
        }
        Map<String, Integer> counts = run(
                members, 2, name -> name.startsWith("b") ? CallOutcome.UNREACHABLE : CallOutcome.ANSWERED, name -> 5);
        int unreachableCalls = CALLS;
        for (int i = 0; i < 6; i++) {
            unreachableCalls -= counts.getOrDefault("c" + i, 0);
        }
        assertTrue(unreachableCalls <= 25, counts.toString());
        List<Member> withLocal = new ArrayList<>(members);
        withLocal.add(member("a1", "a", 1));
        assertEquals(
                Set.of("a1"),
                run(withLocal, 3, name -> CallOutcome.ANSWERED, name -> 5).keySet());
    }

    @Test
    void fullZoneSpillsOverGraduallyAndAtMostHalf() {
        List<Member> members = List.of(member("a1", "a", 1), member("b1", "b", 1));
        Random random = new Random(4);
        int spilled = 0;
        for (int i = 0; i < CALLS; i++) {
            Member choice = choose(members, random);
            boolean isRemote = choice.zone().equals("b");
            assertTrue(!isRemote || i > 10, "spilled over at once");
            spilled += isRemote ? 1 : 0;
            end(choice, CallOutcome.ANSWERED, 1, new LoadReport(isRemote ? 1 : 100, 100, 0));
        }
        assertTrue(spilled > CALLS / 10 && spilled <= CALLS / 2, "spilled " + spilled);
    }

    @Test
    void coldInstanceStartsSlowly() {
        List<Member> warm = List.of(member("a1", "a", 1), member("a2", "a", 1));
        run(warm, 5, name -> CallOutcome.ANSWERED, name -> 20);
        List<Member> members = List.of(member("a1", "a", 1), member("a2", "a", 1), member("a3", "a", 1));
        Random random = new Random(5);
        List<Member> inFlight = new ArrayList<>();
        int coldCalls = 0;
        for (int i = 0; i < 30; i++) {
            Member choice = choose(members, random);
            coldCalls += choice.instance().equals("a3") ? 1 : 0;
            inFlight.add(choice);
        }
        assertTrue(coldCalls <= 3, "the cold instance got " + coldCalls + " of 30 calls");
        inFlight.forEach(choice -> end(choice, CallOutcome.ANSWERED, 20, new LoadReport(0, 10, 0)));
        clock.advance(30_000);
        assertTrue(run(members, 6, name -> CallOutcome.ANSWERED, name -> 20).get("a3") > CALLS / 4);
    }

    @Test
    void subsetIsBoundedAndStable() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            members.add(member("a" + i, "a", 1));
        }
        Set<String> before = Set.copyOf(
                run(members, 7, name -> CallOutcome.ANSWERED, name -> 5).keySet());
        List<Member> fewer = members.stream()
                .filter(member -> !member.instance().equals(before.iterator().next()))
                .toList();
        Set<String> after =
                run(fewer, 8, name -> CallOutcome.ANSWERED, name -> 5).keySet();
        assertEquals(InstanceRouter.SUBSET_SIZE, before.size());
        assertEquals(
                InstanceRouter.SUBSET_SIZE - 1,
                after.stream().filter(before::contains).count());
    }

    private Map<String, Integer> run(
            List<Member> members, long seed, Function<String, CallOutcome> outcome, ToLongFunction<String> latencyMs) {
        Random random = new Random(seed);
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < CALLS; i++) {
            Member choice = choose(members, random);
            counts.merge(choice.instance(), 1, Integer::sum);
            String name = choice.instance();
            end(choice, outcome.apply(name), latencyMs.applyAsLong(name), new LoadReport(0, 10, 0));
        }
        return counts;
    }

    private Member choose(List<Member> members, Random random) {
        return router.choose(members, Set.of(), clock.monotonicMs(), random.nextLong())
                .orElseThrow();
    }

    private void end(Member choice, CallOutcome outcome, long latencyMs, LoadReport load) {
        clock.advance(10);
        router.onEnd(choice, outcome, latencyMs, Optional.of(load), clock.monotonicMs());
    }

    private static Member member(String instance, String zone, long incarnation) {
        return new Member(instance, incarnation, 0, MemberState.UP, zone, "s", "h", 1, 1);
    }
}
