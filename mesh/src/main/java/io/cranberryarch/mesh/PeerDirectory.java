package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.FleetView;
import io.cranberryarch.decision.serving.InstanceLoad;
import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Holds the other nodes of the fleet and the candidates for requests of each service. */
final class PeerDirectory implements FleetView {

    private final EventLoop loop;
    private final Gate gate;
    private final UpstreamState upstream;
    private final Peer localPeer;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private Map<String, Candidates> candidatesByService = new HashMap<>();
    private boolean isFleetKnown;

    PeerDirectory(EventLoop loop, PeerInfo self, Gate gate, UpstreamState upstream) {
        this.loop = loop;
        this.gate = gate;
        this.upstream = upstream;
        this.localPeer = new Peer(self);
    }

    /** Returns the nodes that can run requests of a service now. */
    Candidates getCandidates(String service) {
        Candidates candidates = candidatesByService.get(service);
        if (candidates == null) {
            candidates = new Candidates(new ArrayList<>(), new ArrayList<>());
            if (upstream.isAccepting() && upstream.getService().equals(service)) {
                candidates.sameZone().add(localPeer);
            }
            for (Peer peer : peers.values()) {
                if (peer.isUsable() && peer.getService().equals(service)) {
                    boolean isSameZone =
                            peer.getInfo().zone().equals(localPeer.getInfo().zone());
                    (isSameZone ? candidates.sameZone() : candidates.otherZones()).add(peer);
                }
            }
            candidatesByService.put(service, candidates);
        }
        return candidates;
    }

    @Override
    public void forEachInstance(String service, Consumer<InstanceLoad> consumer) {
        refreshLocalLoad();
        Candidates candidates = getCandidates(service);
        for (Peer candidate : candidates.sameZone()) {
            consumer.accept(candidate.getLoad());
        }
        for (Peer candidate : candidates.otherZones()) {
            consumer.accept(candidate.getLoad());
        }
    }

    @Override
    public void forEachPeerDemand(Consumer<Map<String, Double>> consumer) {
        for (Peer peer : peers.values()) {
            if (peer.getLink().isPresent()) {
                consumer.accept(peer.getWorkDemand());
            }
        }
    }

    /** Invalidates the cached candidates, as an instance may have become usable or unusable. */
    void invalidateCandidates() {
        candidatesByService = new HashMap<>();
    }

    Optional<Peer> find(String node) {
        return Optional.ofNullable(peers.get(node));
    }

    /** Returns the peer for a node, adding it if absent. */
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
        return peer == localPeer;
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

    /** Counts the connected nodes whose names precede that of this node. */
    int countConnectedBeforeSelf() {
        int count = 0;
        for (Peer peer : peers.values()) {
            boolean isBefore =
                    peer.getInfo().node().compareTo(localPeer.getInfo().node()) < 0;
            if (isBefore && peer.getLink().map(PeerLink::isUsable).orElse(false)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether the list of nodes has been received from the store or from a peer. */
    boolean isFleetKnown() {
        return isFleetKnown;
    }

    /** Records that the list of nodes has been received from the store or from a peer. */
    void onFleetKnown() {
        isFleetKnown = true;
    }

    /** Updates the load of the local upstream, which changes with each request. */
    void refreshLocalLoad() {
        localPeer.getLoad().onReport(gate.getUsableLimit(), gate.countInFlight(), gate.getFailureRatio());
        localPeer.getLoad().setColdStartEndMs(loop.nowMs() + upstream.getRemainingColdStartMs());
    }

    /**
     * The nodes that can run requests of a service.
     *
     * @param sameZone nodes in the local availability zone
     * @param otherZones nodes in other availability zones
     */
    record Candidates(List<Peer> sameZone, List<Peer> otherZones) {}
}
