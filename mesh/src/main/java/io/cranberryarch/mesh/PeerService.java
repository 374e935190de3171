package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.TcpListener;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.PeerHelloMessage;
import io.cranberryarch.wire.PeerStatusMessage;
import io.cranberryarch.wire.RulesMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/** The other nodes: how they are found, the connections to them, and what each says of itself. */
final class PeerService implements AutoCloseable {

    private static final long STATUS_INTERVAL_MS = 500;

    /** Each connection adds this to the interval of statuses, so that their cost stays bounded in a large fleet. */
    private static final long STATUS_INTERVAL_PER_PEER_MS = 15;

    /** Statuses in a row that may be late before a peer counts as silent. */
    private static final int SILENT_INTERVALS = 2;

    /** How late a status may be while requests wait for the peer. */
    private static final long LATE_STATUS_MS = 300;

    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long FIRST_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;

    /** How long a peer that cannot be reached is remembered. */
    private static final long FORGET_AFTER_MS = 120_000;

    private static final long CHECK_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final long incarnation;
    private final Gate gate;
    private final CompactHeaders compact;
    private final UpstreamState upstream;
    private final RulesService rules;
    private final EventLog log;
    private final QuotaService quotas;
    private final WorkDemand workDemand;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Set<PeerLink> links = new LinkedHashSet<>();
    private final Peer own;
    private Map<String, Places> placesByService = new HashMap<>();
    private TcpListener listener;
    private PeerInfo self;
    private boolean isFleetKnown;
    private long statusAtMs;

    PeerService(
            EventLoop loop,
            PeerInfo self,
            long incarnation,
            Gate gate,
            CompactHeaders compact,
            UpstreamState upstream,
            RulesService rules,
            EventLog log,
            QuotaService quotas,
            WorkDemand workDemand) {
        this.loop = loop;
        this.self = self;
        this.incarnation = incarnation;
        this.gate = gate;
        this.compact = compact;
        this.upstream = upstream;
        this.rules = rules;
        this.log = log;
        this.quotas = quotas;
        this.workDemand = workDemand;
        this.own = new Peer(self);
    }

    /**
     * Binds the port for peers.
     *
     * @return what the other nodes are told of this one
     */
    PeerInfo start(InetSocketAddress address) throws IOException {
        listener = TcpListener.bind(loop, address, connection -> {
            PeerLink link = PeerLink.accept(loop, this, connection);
            links.add(link);
            return link;
        });
        self = new PeerInfo(self.node(), self.zone(), IniFile.toText(listener.getAddress()));
        upstream.addListener(() -> {
            placesByService = new HashMap<>();
            broadcastStatus();
        });
        loop.repeat(CHECK_INTERVAL_MS, this::check);
        return self;
    }

    CompactHeaders getCompact() {
        return compact;
    }

    Gate getGate() {
        return gate;
    }

    boolean isSelf(Peer peer) {
        return peer == own;
    }

    /** Adds nodes that were read from the store or heard of from others. */
    void learn(Collection<PeerInfo> infos) {
        for (PeerInfo info : infos) {
            if (info.node().equals(self.node())) {
                continue;
            }
            Peer known = peers.get(info.node());
            if (known == null) {
                known = new Peer(info);
                peers.put(info.node(), known);
                dial(known);
            }
        }
    }

    /** Gets the places that may run requests of a service now. */
    Places getPlaces(String service) {
        Places places = placesByService.get(service);
        if (places == null) {
            places = new Places(new ArrayList<>(), new ArrayList<>());
            if (upstream.isAccepting() && upstream.getService().equals(service)) {
                places.near().add(own);
            }
            for (Peer peer : peers.values()) {
                if (peer.isUsable() && peer.getService().equals(service)) {
                    (peer.getInfo().zone().equals(self.zone()) ? places.near() : places.far()).add(peer);
                }
            }
            placesByService.put(service, places);
        }
        return places;
    }

    Collection<Peer> getPeers() {
        return peers.values();
    }

    int countNodes() {
        return peers.size() + 1;
    }

    /** Tells whether the node has learned from the store or from a peer which other nodes there are. */
    boolean isFleetKnown() {
        return isFleetKnown;
    }

    /** Notes that the entries of all nodes were read from the store. */
    void onFleetRead() {
        isFleetKnown = true;
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

    /** Updates what is known of the own upstream's load, which changes with each request. */
    void refreshOwnLoad() {
        own.getLoad().onReport(gate.getLimit(), gate.getBusy(), gate.getFailing());
        own.getLoad().setColdUntilMs(loop.nowMs() + upstream.getColdLeftMs());
    }

    void broadcastStatus() {
        statusAtMs = loop.nowMs();
        quotas.onReported(rules.getRules(), this);
        PeerStatusMessage status = toStatus();
        for (Peer peer : peers.values()) {
            peer.getLink().filter(PeerLink::isConnected).ifPresent(link -> link.send(status));
        }
    }

    void onLinkUp(PeerLink link) {
        sendHello(link);
    }

    void onMessage(PeerLink link, Message message) {
        switch (message.getType()) {
            case PEER_HELLO -> onHello(link, (PeerHelloMessage) message);
            case PEER_STATUS -> link.getPeer().ifPresent(peer -> onStatus(peer, (PeerStatusMessage) message));
            case RULES_REQUEST -> rules.getDocument().ifPresent(document -> link.send(new RulesMessage(document)));
            case RULES -> rules.onDocument(((RulesMessage) message).document(), "peer");
            default -> Logger.warn("event=peer-message-ignored type={}", message.getType());
        }
    }

    void onHeardAgain(PeerLink link) {
        placesByService = new HashMap<>();
        link.getPeer()
                .ifPresent(peer -> log.state("event=peer-regained peer="
                        + peer.getInfo().node() + " zone=" + peer.getInfo().zone()));
    }

    void onLinkDown(PeerLink link, String cause) {
        links.remove(link);
        Optional<Peer> lost = link.getPeer();
        if (lost.isEmpty()) {
            return;
        }
        Peer peer = lost.get();
        if (peer.getLink().filter(current -> current == link).isPresent()) {
            peer.setLink(Optional.empty());
            peer.setLostAtMs(loop.nowMs());
            placesByService = new HashMap<>();
            log.state("event=peer-lost peer=" + peer.getInfo().node() + " zone="
                    + peer.getInfo().zone() + " cause=\"" + cause + "\"");
        }
        if (peer.isEnding()) {
            forget(peer);
            return;
        }
        if (link.isDialer()) {
            peer.setDialing(false);
        }
        if (peer.getLink().isEmpty() && !peer.isDialing()) {
            redialLater(peer);
        }
    }

    /** Stops accepting connections; open ones stay until the process ends. */
    @Override
    public void close() throws IOException {
        listener.close();
    }

    static InetSocketAddress toAddress(PeerInfo info) {
        return IniFile.toAddress(info.address()).orElseThrow();
    }

    private void onHello(PeerLink link, PeerHelloMessage hello) {
        if (IniFile.toAddress(hello.self().address()).isEmpty()) {
            Logger.warn("event=peer-hello-malformed peer={}", hello.self().node());
            link.close();
            return;
        }
        Peer peer = peers.computeIfAbsent(hello.self().node(), unused -> new Peer(hello.self()));
        peer.setInfo(hello.self());
        // Another node has the address now that was dialed.
        link.getPeer().filter(dialed -> dialed != peer).ifPresent(this::forget);
        link.setPeer(peer);
        link.setIncarnation(hello.incarnation());
        if (!link.isDialer()) {
            sendHello(link);
        }
        link.send(toStatus());
        peer.setDialing(false);
        peer.setBackoffMs(0);
        Optional<PeerLink> before = peer.getLink().filter(current -> current != link);
        if (before.isEmpty() || isPreferred(link, before.get(), peer)) {
            peer.setLink(Optional.of(link));
            placesByService = new HashMap<>();
            log.state("event=peer-connected peer=" + peer.getInfo().node() + " zone="
                    + peer.getInfo().zone() + " address=" + peer.getInfo().address() + " incarnation="
                    + hello.incarnation());
        }
        learn(hello.known());
        isFleetKnown = true;
    }

    /** Of two connections that both nodes opened at once, both keep the one of the node with the smaller name. */
    private boolean isPreferred(PeerLink link, PeerLink before, Peer peer) {
        if (before.isClosed() || !before.isUsable() || link.getIncarnation() != before.getIncarnation()) {
            return true;
        }
        boolean isOwnSmaller = self.node().compareTo(peer.getInfo().node()) < 0;
        return link.isDialer() == isOwnSmaller;
    }

    private void onStatus(Peer peer, PeerStatusMessage status) {
        if (status.isEnding()) {
            peer.setEnding();
        }
        if (peer.onStatus(status, loop.nowMs())) {
            placesByService = new HashMap<>();
            log.state("event=instance-changed peer=" + peer.getInfo().node() + " instance=" + status.instance()
                    + " service=" + status.service() + " accepting=" + status.isAccepting() + " limit="
                    + status.limit());
        }
        quotas.onPeerStatus(peer, rules.getRules(), this);
        rules.onPeerVersion(peer, status.rulesVersion());
    }

    private PeerStatusMessage toStatus() {
        return new PeerStatusMessage(
                upstream.getInstance(),
                upstream.getService(),
                upstream.isAccepting(),
                upstream.isEndingForGood(),
                upstream.isKnown() ? gate.getLimit() : 1,
                gate.getBusy(),
                gate.getFailing(),
                upstream.getColdLeftMs(),
                rules.getVersion(),
                quotas.getDemandPerS(),
                workDemand.toReport(loop.nowMs()),
                quotas.getAdmitted(),
                quotas.getHeld());
    }

    private void sendHello(PeerLink link) {
        List<PeerInfo> known = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.getLink().isPresent()) {
                known.add(peer.getInfo());
            }
        }
        link.send(new PeerHelloMessage(self, incarnation, known));
    }

    private void dial(Peer peer) {
        if (peer.isDialing() || peer.getLink().isPresent()) {
            return;
        }
        peer.setDialing(true);
        PeerLink link = PeerLink.dial(loop, this, peer);
        links.add(link);
        loop.schedule(CONNECT_TIMEOUT_MS, () -> {
            if (!link.isConnected()) {
                link.close();
            }
        });
    }

    private void redialLater(Peer peer) {
        peer.setBackoffMs(Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, peer.getBackoffMs() * 2)));
        loop.schedule(peer.getBackoffMs(), () -> {
            if (peers.get(peer.getInfo().node()) == peer) {
                dial(peer);
            }
        });
    }

    private long toStatusIntervalMs() {
        return STATUS_INTERVAL_MS + STATUS_INTERVAL_PER_PEER_MS * links.size();
    }

    private void check() {
        if (loop.nowMs() - statusAtMs >= toStatusIntervalMs() || quotas.isReportDue()) {
            broadcastStatus();
        }
        long silentMs = SILENT_INTERVALS * toStatusIntervalMs();
        long busySilentMs = toStatusIntervalMs() + LATE_STATUS_MS;
        for (PeerLink link : new ArrayList<>(links)) {
            boolean isCurrent = link.getPeer()
                    .flatMap(Peer::getLink)
                    .filter(current -> current == link)
                    .isPresent();
            long allowedMs = link.isAwaitingAnswers() ? busySilentMs : silentMs;
            if (isCurrent && link.isUsable() && link.getSilentMs() > allowedMs) {
                onSilent(link);
            } else if (!isCurrent && link.isConnected() && !link.hasPending() && link.getSilentMs() > silentMs) {
                link.close();
            }
        }
        forgetLost();
    }

    private void onSilent(PeerLink link) {
        Peer peer = link.getPeer().orElseThrow();
        log.state("event=peer-silent peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " silent-ms=" + link.getSilentMs());
        placesByService = new HashMap<>();
        link.onSilent();
        // The connection may have gone silent for good while new ones work.
        peer.setLink(Optional.empty());
        peer.setLostAtMs(loop.nowMs());
        dial(peer);
    }

    private void forget(Peer peer) {
        peers.remove(peer.getInfo().node());
        quotas.forget(peer);
        placesByService = new HashMap<>();
        log.state("event=peer-forgotten peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " ending=" + peer.isEnding());
    }

    private void forgetLost() {
        long nowMs = loop.nowMs();
        for (Peer peer : new ArrayList<>(peers.values())) {
            boolean isLost = peer.getLink().isEmpty() && peer.getLostAtMs() > 0;
            if (isLost && nowMs - peer.getLostAtMs() > FORGET_AFTER_MS) {
                forget(peer);
            }
        }
    }

    /**
     * Places that may run requests of a service.
     *
     * @param near places in the own availability zone
     * @param far places in other zones
     */
    record Places(List<Peer> near, List<Peer> far) {}
}
