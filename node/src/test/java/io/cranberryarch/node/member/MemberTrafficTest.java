package io.cranberryarch.node.member;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberDelta;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.membership.Membership;
import io.cranberryarch.decision.membership.Probe;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.GossipMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Counts the bytes of gossip messages in one process without sockets; the result is deterministic. */
class MemberTrafficTest {

    private static final long MAX_BYTES_PER_SECOND = 1_000;
    private static final int FULL_FLEET_SIZE = 2_100;
    private static final double CHANGES_PER_DAY = 114 * 4;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int ZONE_COUNT = 14;
    private static final int QUIET_ROUNDS = 60;
    private static final int[] FLEET_SIZES = {28, 84, 168, 294};

    private final Map<String, Membership> nodes = new HashMap<>();
    private final Map<String, Long> bytesByNode = new HashMap<>();
    private long nowMs = 1_000;

    @Test
    void membershipTrafficPerNodeIsBoundedAtFullSize() throws IOException {
        double[] quiet = new double[FLEET_SIZES.length];
        double[] perChange = new double[FLEET_SIZES.length];
        double busiest = 0;
        for (int i = 0; i < FLEET_SIZES.length; i++) {
            startFleet(FLEET_SIZES[i]);
            bytesByNode.clear();
            run(QUIET_ROUNDS);
            double seconds = QUIET_ROUNDS * Membership.ROUND_INTERVAL_MS / 1_000.0;
            quiet[i] = sumBytes() / seconds / FLEET_SIZES[i];
            busiest = bytesByNode.values().stream()
                            .mapToLong(bytes -> bytes)
                            .max()
                            .orElseThrow()
                    / seconds;
            bytesByNode.clear();
            Membership changed = nodes.get("instance-0003");
            changed.setSelf(changed.getSelf().toState(MemberState.DRAINING), nowMs);
            run(QUIET_ROUNDS);
            perChange[i] = Math.max(0, sumBytes() / FLEET_SIZES[i] - quiet[i] * seconds);
            System.out.printf(
                    "measured nodes=%d quiet_bytes_per_s=%.0f busiest_node=%.0f bytes_per_change=%.0f%n",
                    FLEET_SIZES[i], quiet[i], busiest, perChange[i]);
        }
        int last = FLEET_SIZES.length - 1;
        double slope = Math.max(0, (perChange[last] - perChange[0]) / (FLEET_SIZES[last] - FLEET_SIZES[0]));
        double changeAtSize = perChange[last] + slope * (FULL_FLEET_SIZE - FLEET_SIZES[last]);
        double control = busiest + changeAtSize * CHANGES_PER_DAY / SECONDS_PER_DAY;
        System.out.printf("measured bytes_per_change_at_2100=%.0f control_bytes_per_s=%.0f%n", changeAtSize, control);
        assertTrue(perChange[last] > 0, "the change was not counted");
        assertTrue(control < MAX_BYTES_PER_SECOND, "a node sends and receives " + control + " bytes a second");
    }

    private void startFleet(int size) throws IOException {
        nodes.clear();
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String name = String.format("instance-%04d", i);
            all.add(new Member(
                    name,
                    1_700_000_000_000L,
                    1,
                    MemberState.UP,
                    "zone-" + i % ZONE_COUNT,
                    "service-" + i % 15,
                    "10.20.30.40",
                    8_082,
                    150));
        }
        for (Member self : all) {
            Membership node = new Membership(self, nowMs);
            node.onDelta(new MemberDelta(0, List.of(), all), nowMs);
            consumeChanges(node);
            nodes.put(self.instance(), node);
        }
        run(QUIET_ROUNDS);
    }

    private static void consumeChanges(Membership node) {
        while (node.toJoinMessage().members().size() > 1) {
            node.getAndClearChanged();
        }
        node.getAndClearChanged();
    }

    private void run(int rounds) throws IOException {
        for (int i = 0; i < rounds; i++) {
            nowMs += Membership.ROUND_INTERVAL_MS;
            for (String name : nodes.keySet().stream().sorted().toList()) {
                Membership node = nodes.get(name);
                send(node, node.onRound(nowMs, nowMs));
            }
            boolean hasChanges = true;
            while (hasChanges) {
                hasChanges = false;
                for (String name : nodes.keySet().stream().sorted().toList()) {
                    Membership node = nodes.get(name);
                    if (node.getAndClearChanged()) {
                        hasChanges = true;
                        send(node, node.toBroadcast());
                    }
                }
            }
        }
    }

    private void send(Membership from, List<Probe> probes) throws IOException {
        for (Probe probe : probes) {
            Membership to = nodes.get(probe.target().instance());
            Optional<MemberDelta> next = Optional.of(probe.delta());
            while (next.isPresent()) {
                count(from, to, next.get());
                MemberDelta response = to.onDelta(next.get(), nowMs);
                count(from, to, response);
                next = from.onAnswer(to.getSelf().instance(), response, nowMs);
            }
        }
    }

    private void count(Membership from, Membership to, MemberDelta delta) throws IOException {
        GossipMessage message = new GossipMessage(
                false, 100_000, delta.digest(), delta.bucketDigests(), MemberMessages.toRecords(delta), 0, List.of());
        long bytes = FrameCodec.encode(new Frame(1_000_000, message)).remaining();
        bytesByNode.merge(from.getSelf().instance(), bytes, Long::sum);
        bytesByNode.merge(to.getSelf().instance(), bytes, Long::sum);
    }

    private double sumBytes() {
        return bytesByNode.values().stream().mapToLong(bytes -> bytes).sum();
    }
}
