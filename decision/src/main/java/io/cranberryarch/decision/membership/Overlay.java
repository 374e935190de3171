package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The peers that a node exchanges records with.
 *
 * <p>These are its successors on several rings of its own zone, including the next one after a suspected successor, and
 * for the delegates of a zone one member of each other zone. Every node computes the same rings from the same records.
 */
final class Overlay {

    private static final int RING_COUNT = 3;
    private static final int DELEGATES_PER_ZONE = 2;

    private final List<Member> neighbours;
    private final SortedMap<String, List<Member>> zones;
    private final int delegateRank;

    private Overlay(List<Member> neighbours, SortedMap<String, List<Member>> zones, int delegateRank) {
        this.neighbours = neighbours;
        this.zones = zones;
        this.delegateRank = delegateRank;
    }

    /** Computes the overlay of one member from the live members. */
    static Overlay of(Member self, List<Member> live) {
        SortedMap<String, List<Member>> zones = new TreeMap<>();
        List<Member> zonePeers = new ArrayList<>();
        for (Member member : live) {
            if (!member.zone().equals(self.zone())) {
                zones.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
            } else if (!member.instance().equals(self.instance())) {
                zonePeers.add(member);
            }
        }
        zones.forEach((zone, members) -> sort(zone, members));
        List<Member> ranked = new ArrayList<>(zonePeers);
        ranked.add(self);
        sort(self.zone(), ranked);
        return new Overlay(findNeighbours(self, zonePeers), zones, ranked.indexOf(self));
    }

    /** Returns the successors on the rings, without duplicates. */
    List<Member> getNeighbours() {
        return neighbours;
    }

    /** Checks whether this member connects its zone to the other zones. */
    boolean isDelegate() {
        return delegateRank < DELEGATES_PER_ZONE;
    }

    /** Returns one peer in each other zone, the next one after each failure; empty if this member is no delegate. */
    List<Member> findRemotePeers(Map<String, Integer> failuresByZone) {
        List<Member> remote = new ArrayList<>();
        if (!isDelegate()) {
            return remote;
        }
        for (Map.Entry<String, List<Member>> entry : zones.entrySet()) {
            List<Member> members = entry.getValue();
            int index = delegateRank + failuresByZone.getOrDefault(entry.getKey(), 0);
            remote.add(members.get(Math.floorMod(index, members.size())));
        }
        return remote;
    }

    private static List<Member> findNeighbours(Member self, List<Member> zonePeers) {
        List<Member> healthy = zonePeers.stream()
                .filter(peer -> peer.state() != MemberState.SUSPECT)
                .toList();
        Map<String, Member> found = new LinkedHashMap<>();
        for (int ring = 0; ring < RING_COUNT; ring++) {
            findSuccessor("ring" + ring, self, zonePeers).ifPresent(peer -> found.put(peer.instance(), peer));
            findSuccessor("ring" + ring, self, healthy).ifPresent(peer -> found.put(peer.instance(), peer));
        }
        return List.copyOf(found.values());
    }

    private static Optional<Member> findSuccessor(String ring, Member self, List<Member> zonePeers) {
        long own = MemberHash.toRank(ring, self.instance());
        Optional<Member> successor = Optional.empty();
        long least = 0;
        for (Member peer : zonePeers) {
            long distance = MemberHash.toRank(ring, peer.instance()) - own;
            if (successor.isEmpty() || Long.compareUnsigned(distance, least) < 0) {
                successor = Optional.of(peer);
                least = distance;
            }
        }
        return successor;
    }

    private static void sort(String scope, List<Member> members) {
        members.sort(Comparator.comparingLong((Member member) -> MemberHash.toRank(scope, member.instance()))
                .thenComparing(Member::instance));
    }
}
