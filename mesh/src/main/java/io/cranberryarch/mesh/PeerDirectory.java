package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the node knows of the fleet: the other nodes, and where the instances of each service are. */
final class PeerDirectory {

    private final EventLoop loop;
    private final Gate gate;
    private final UpstreamState upstream;
    private final Peer own;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private Map<String, Candidates> candidatesByService = new HashMap<>();
    private boolean isFleetKnown;

    PeerDirectory(EventLoop loop, PeerInfo self, Gate gate, UpstreamState upstream) {
        this.loop = loop;
        this.gate = gate;
        this.upstream = upstream;
        this.own = new Peer(self);
    }

    /** Gets the places that may run requests of a service now. */
    Candidates getCandidates(String service) {
        Candidates places = candidatesByService.get(service);
        if (places == null) {
            places = new Candidates(new ArrayList<>(), new ArrayList<>());
            if (upstream.isAccepting() && upstream.getService().equals(service)) {
                places.sameZone().add(own);
            }
            for (Peer peer : peers.values()) {
                if (peer.isUsable() && peer.getService().equals(service)) {
                    boolean isNear = peer.getInfo().zone().equals(own.getInfo().zone());
                    (isNear ? places.sameZone() : places.otherZones()).add(peer);
                }
            }
            candidatesByService.put(service, places);
        }
        return places;
    }

    /** Notes that an instance may have become usable or unusable. */
    void invalidateCandidates() {
        candidatesByService = new HashMap<>();
    }

    Optional<Peer> find(String node) {
        return Optional.ofNullable(peers.get(node));
    }

    /** Gets a node, and adds it if it is not known. */
    Peer getOrAdd(PeerInfo info) {
        return peers.computeIfAbsent(info.node(), unused -> new Peer(info));
    }

    void remove(Peer peer) {
        peers.remove(peer.getInfo().node());
        invalidateCandidates();
    }

    Collection<Peer> getPeers() {
        return peers.values();
    }

    boolean isSelf(Peer peer) {
        return peer == own;
    }

    int countNodes() {
        return peers.size() + 1;
    }

    int countConnected() {
        int count = 0;
        for (Peer peer : peers.values()) {
            if (peer.getLink().map(PeerLink::isUsable).orElse(false)) {
                count++;
            }
        }
        return count;
    }

    /** Tells whether the node has learned from the store or from a peer which other nodes there are. */
    boolean isFleetKnown() {
        return isFleetKnown;
    }

    /** Notes that the store or a peer told which nodes there are. */
    void onFleetKnown() {
        isFleetKnown = true;
    }

    /** Updates what is known of the own upstream's load, which changes with each request. */
    void refreshLocalLoad() {
        own.getLoad().onReport(gate.getLimit(), gate.countInFlight(), gate.getFailureRatio());
        own.getLoad().setColdUntilMs(loop.nowMs() + upstream.getColdLeftMs());
    }

    /**
     * Candidates that may run requests of a service.
     *
     * @param sameZone nodes in the local availability zone
     * @param otherZones nodes in other availability zones
     */
    record Candidates(List<Peer> sameZone, List<Peer> otherZones) {}
}
