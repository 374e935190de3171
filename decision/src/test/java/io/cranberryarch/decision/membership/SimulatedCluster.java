package io.cranberryarch.decision.membership;

import io.cranberryarch.base.ManualClock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** Membership states that exchange messages by direct calls, with partitions between nodes and a manual clock. */
final class SimulatedCluster {

    private static final int MAX_EXCHANGES = 100;

    private final ManualClock clock = new ManualClock(10_000);
    private final Random random;
    private final Map<String, Membership> nodes = new TreeMap<>();
    private BiPredicate<Member, Member> partition = (from, to) -> false;

    SimulatedCluster(long seed, int zones, int perZone) {
        this.random = new Random(seed);
        for (int i = 0; i < zones * perZone; i++) {
            start("n" + i, 1, "z" + i % zones);
        }
    }

    void start(String instance, long incarnation, String zone) {
        Member self = new Member(instance, incarnation, 0, MemberState.UP, zone, "s", "h", 1, 1);
        Membership node = new Membership(self, clock.monotonicMs());
        Optional<Membership> seed =
                nodes.values().stream().filter(other -> other != node).findFirst();
        nodes.put(instance, node);
        seed.ifPresent(other -> exchange(node, new Probe(other.getSelf(), node.toJoinMessage(), false)));
    }

    Membership kill(String instance) {
        return nodes.remove(instance);
    }

    Collection<Membership> nodes() {
        return nodes.values();
    }

    Membership get(String instance) {
        return nodes.get(instance);
    }

    long nowMs() {
        return clock.monotonicMs();
    }

    /** Sets which links are partitioned, in one direction each; an exchange needs both directions of a link. */
    void setPartition(BiPredicate<Member, Member> newPartition) {
        partition = newPartition;
    }

    /** Runs rounds of all nodes and returns the number of rounds until the condition first held, -1 if it did not. */
    int run(int rounds, BooleanSupplier until) {
        for (int i = 0; i < rounds; i++) {
            if (until.getAsBoolean()) {
                return i;
            }
            clock.advance(Membership.ROUND_INTERVAL_MS);
            for (Membership node : List.copyOf(nodes.values())) {
                send(node, node.onRound(nowMs(), random.nextLong()));
            }
            propagateChanges();
        }
        return until.getAsBoolean() ? rounds : -1;
    }

    /** Makes every node with changed records broadcast them to its peers, until no record changes any more. */
    void propagateChanges() {
        boolean isChanged = true;
        for (int i = 0; isChanged; i++) {
            if (i == MAX_EXCHANGES) {
                throw new AssertionError("the propagation of changes does not terminate");
            }
            isChanged = false;
            for (Membership node : nodes.values()) {
                if (node.getAndClearChanged()) {
                    isChanged = true;
                    send(node, node.toBroadcast());
                }
            }
        }
    }

    /** Checks whether the members that accept calls are exactly the running nodes, at every node. */
    boolean isConverged() {
        return nodes.values().stream().allMatch(node -> toServing(node).equals(new TreeSet<>(nodes.keySet())));
    }

    boolean isInStateEverywhere(String instance, MemberState state) {
        return nodes.values().stream()
                .allMatch(node ->
                        node.getTable().find(instance).map(Member::state).equals(Optional.of(state)));
    }

    static Set<String> toServing(Membership node) {
        Set<String> names = new TreeSet<>();
        node.getTable().findServing("s").forEach(member -> names.add(member.instance()));
        return names;
    }

    private void send(Membership from, List<Probe> probes) {
        for (Probe probe : probes) {
            exchange(from, probe);
        }
    }

    private void exchange(Membership from, Probe probe) {
        Member target = probe.target();
        if (!isReachable(from.getSelf(), target)) {
            if (!probe.isFailureReported()) {
                return;
            }
            List<IndirectProbe> probes = new ArrayList<>(from.onFailure(target, nowMs(), random.nextLong()));
            for (IndirectProbe indirect : probes) {
                boolean isAnswered =
                        isReachable(from.getSelf(), indirect.via()) && isReachable(indirect.via(), indirect.target());
                from.onIndirect(target, isAnswered, nowMs());
            }
            return;
        }
        Membership peer = nodes.get(target.instance());
        MemberDelta answer = peer.onDelta(probe.delta(), nowMs());
        Optional<MemberDelta> next = from.onAnswer(peer.getSelf().instance(), answer, nowMs());
        for (int i = 0; next.isPresent(); i++) {
            if (i == MAX_EXCHANGES) {
                throw new AssertionError("an exchange does not terminate");
            }
            next = from.onAnswer(peer.getSelf().instance(), peer.onDelta(next.get(), nowMs()), nowMs());
        }
    }

    private boolean isReachable(Member from, Member to) {
        return nodes.containsKey(to.instance())
                && nodes.containsKey(from.instance())
                && !partition.test(from, to)
                && !partition.test(to, from);
    }
}
