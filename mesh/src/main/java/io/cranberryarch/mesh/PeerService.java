package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.TcpListener;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.wire.AccountUse;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.PeerHelloMessage;
import io.cranberryarch.wire.PeerStatusMessage;
import io.cranberryarch.wire.PeersMessage;
import io.cranberryarch.wire.PeersRequestMessage;
import io.cranberryarch.wire.RulesMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/** The connections to the other nodes, and what the nodes say to each other of themselves. */
final class PeerService implements AutoCloseable {

    private static final long STATUS_INTERVAL_MS = 500;

    /** Each connection adds this to the interval of statuses, so that their cost stays bounded in a large fleet. */
    private static final long STATUS_INTERVAL_PER_PEER_MS = 5;

    /** Statuses in a row that may be late before a peer counts as silent. */
    private static final int SILENT_INTERVALS = 2;

    /** How late a status may be while requests wait for the peer. */
    private static final long LATE_STATUS_MS = 300;

    /** The part of the interval of statuses after which a borrowed token may be told. */
    private static final double EARLY_STATUS_PART = 0.25;

    /**
     * How long statuses name a changed upstream: while two connections with a peer last, a status on one may overtake
     * that on the other.
     */
    private static final long UPSTREAM_NAMED_MS = 3_000;

    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long FIRST_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;

    /** How long a peer that cannot be reached is remembered. */
    private static final long FORGET_AFTER_MS = 120_000;

    private static final long CHECK_INTERVAL_MS = 100;

    /** How often another node is asked which nodes there are, until the store has told it. */
    private static final long PEERS_REQUEST_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final long incarnation;
    private final PeerDirectory peers;
    private final Gate gate;
    private final CompactHeaders compact;
    private final UpstreamState upstream;
    private final RulesService rules;
    private final EventLog log;
    private final QuotaService quotas;
    private final WorkDemand workDemand;
    private final Set<PeerLink> links = new LinkedHashSet<>();
    private TcpListener listener;
    private PeerInfo self;
    private PeerStatusMessage.Upstream toldUpstream = new PeerStatusMessage.Upstream("", "");
    private long upstreamChangedAtMs;
    private long statusAtMs;
    private long peersRequestAtMs = Long.MIN_VALUE;
    private boolean isFleetRead;

    PeerService(
            EventLoop loop,
            PeerInfo self,
            long incarnation,
            PeerDirectory peers,
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
        this.peers = peers;
        this.gate = gate;
        this.compact = compact;
        this.upstream = upstream;
        this.rules = rules;
        this.log = log;
        this.quotas = quotas;
        this.workDemand = workDemand;
    }

    /** Binds the port for peers and begins to keep the connections. */
    void start(InetSocketAddress address) throws IOException {
        listener = TcpListener.bind(loop, address, connection -> {
            PeerLink link = PeerLink.accept(loop, this, connection);
            links.add(link);
            return link;
        });
        self = new PeerInfo(self.node(), self.zone(), IniFile.toText(listener.getAddress()));
        upstream.addListener(() -> {
            peers.invalidateCandidates();
            broadcastStatus();
        });
        loop.scheduleWithFixedDelay(CHECK_INTERVAL_MS, this::check);
    }

    /** Gets what the other nodes are told of this one, once the port is bound. */
    PeerInfo getSelf() {
        return self;
    }

    CompactHeaders getCompactHeaders() {
        return compact;
    }

    Gate getGate() {
        return gate;
    }

    /** Takes the nodes that were read from the store. */
    void onFleetRead(Collection<PeerInfo> infos) {
        isFleetRead = true;
        learn(infos);
        peers.onFleetKnown();
    }

    private void learn(Collection<PeerInfo> infos) {
        for (PeerInfo info : infos) {
            if (info.node().equals(self.node())) {
                continue;
            }
            if (peers.find(info.node()).isEmpty()) {
                dial(peers.getOrAdd(info));
            }
        }
    }

    void broadcastStatus() {
        statusAtMs = loop.nowMs();
        PeerStatusMessage status = toChanges();
        List<PeerLink> connected = new ArrayList<>();
        for (Peer peer : peers.getPeers()) {
            peer.getLink().filter(PeerLink::isConnected).ifPresent(connected::add);
        }
        PeerLink.sendToAll(connected, status);
    }

    void onLinkUp(PeerLink link) {
        sendHello(link);
    }

    void onMessage(PeerLink link, Message message) {
        switch (message.getType()) {
            case PEER_HELLO -> onHello(link, (PeerHelloMessage) message);
            case PEER_STATUS -> link.getPeer().ifPresent(peer -> onStatus(peer, (PeerStatusMessage) message));
            case RULES_REQUEST -> rules.getDocument().ifPresent(document -> link.send(new RulesMessage(document)));
            case PEERS_REQUEST -> sendPeers(link);
            case PEERS -> onPeers((PeersMessage) message);
            case RULES -> rules.onDocument(((RulesMessage) message).document(), "peer");
            default -> Logger.warn("event=peer-message-ignored type={}", message.getType());
        }
    }

    void onHeardAgain(PeerLink link) {
        peers.invalidateCandidates();
        link.getPeer()
                .ifPresent(peer -> log.info("event=peer-regained peer="
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
            peers.invalidateCandidates();
            quotas.removeNode(peer.getInfo().node());
            log.info("event=peer-lost peer=" + peer.getInfo().node() + " zone="
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
        Peer peer = peers.getOrAdd(hello.self());
        peer.setInfo(hello.self());
        // Another node has the address now that was dialed.
        link.getPeer().filter(dialed -> dialed != peer).ifPresent(this::forget);
        link.setPeer(peer);
        link.setIncarnation(hello.incarnation());
        if (!link.isDialer()) {
            sendHello(link);
        }
        link.send(toCompleteStatus());
        peer.setDialing(false);
        peer.setBackoffMs(0);
        Optional<PeerLink> before = peer.getLink().filter(current -> current != link);
        if (before.isEmpty() || isPreferred(link, before.get(), peer)) {
            peer.setLink(Optional.of(link));
            peers.invalidateCandidates();
            log.info("event=peer-connected peer=" + peer.getInfo().node() + " zone="
                    + peer.getInfo().zone() + " address=" + peer.getInfo().address() + " incarnation="
                    + hello.incarnation());
        }
        askForPeers(link);
    }

    /** Asks a node which others there are while the store cannot be read. */
    private void askForPeers(PeerLink link) {
        boolean isDue =
                peersRequestAtMs == Long.MIN_VALUE || loop.nowMs() - peersRequestAtMs >= PEERS_REQUEST_INTERVAL_MS;
        if (!isFleetRead && isDue) {
            peersRequestAtMs = loop.nowMs();
            link.send(new PeersRequestMessage());
        }
    }

    private void sendPeers(PeerLink link) {
        if (!peers.isFleetKnown()) {
            return;
        }
        List<PeerInfo> connected = new ArrayList<>();
        for (Peer peer : peers.getPeers()) {
            if (peer.getLink().isPresent()) {
                connected.add(peer.getInfo());
            }
        }
        link.send(new PeersMessage(connected));
    }

    private void onPeers(PeersMessage message) {
        learn(message.peers());
        peers.onFleetKnown();
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
            peers.invalidateCandidates();
            log.info("event=instance-changed peer=" + peer.getInfo().node() + " instance=" + peer.getInstance()
                    + " service=" + peer.getService() + " accepting=" + status.isAccepting() + " limit="
                    + status.limit());
        }
        quotas.onPeerStatus(peer.getInfo().node(), status);
        rules.onPeerVersion(peer, status.rulesVersion());
    }

    private PeerStatusMessage toCompleteStatus() {
        return toStatus(Optional.of(toUpstream()), workDemand.getReported(), true, quotas.getUses());
    }

    /** Notes that all connected nodes are told what changed since the last status. */
    private PeerStatusMessage toChanges() {
        PeerStatusMessage.Upstream own = toUpstream();
        if (!own.equals(toldUpstream)) {
            toldUpstream = own;
            upstreamChangedAtMs = loop.nowMs();
        }
        boolean isNamed = loop.nowMs() - upstreamChangedAtMs < UPSTREAM_NAMED_MS;
        return toStatus(
                isNamed ? Optional.of(own) : Optional.empty(), workDemand.report(loop.nowMs()), false, quotas.report());
    }

    private PeerStatusMessage.Upstream toUpstream() {
        return new PeerStatusMessage.Upstream(upstream.getInstance(), upstream.getService());
    }

    private PeerStatusMessage toStatus(
            Optional<PeerStatusMessage.Upstream> named,
            Map<String, Double> demand,
            boolean isComplete,
            Map<String, AccountUse> uses) {
        return new PeerStatusMessage(
                named,
                upstream.isAccepting(),
                upstream.isPermanentShutdown(),
                upstream.isKnown() ? gate.getLimit() : 1,
                gate.countInFlight(),
                gate.getFailureRatio(),
                upstream.getColdLeftMs(),
                rules.getVersion(),
                demand,
                isComplete,
                uses);
    }

    private void sendHello(PeerLink link) {
        link.send(new PeerHelloMessage(self, incarnation));
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
            if (peers.find(peer.getInfo().node()).filter(known -> known == peer).isPresent()) {
                dial(peer);
            }
        });
    }

    private long toStatusIntervalMs() {
        return STATUS_INTERVAL_MS + STATUS_INTERVAL_PER_PEER_MS * links.size();
    }

    private void check() {
        long sinceStatusMs = loop.nowMs() - statusAtMs;
        boolean isEarlyDue = sinceStatusMs >= EARLY_STATUS_PART * toStatusIntervalMs() && quotas.isReportDue();
        if (isEarlyDue || sinceStatusMs >= toStatusIntervalMs()) {
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
            if (isCurrent && link.isUsable()) {
                askForPeers(link);
            }
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
        log.info("event=peer-silent peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " silent-ms=" + link.getSilentMs());
        peers.invalidateCandidates();
        link.onSilent();
        // The connection may have gone silent for good while new ones work.
        peer.setLink(Optional.empty());
        peer.setLostAtMs(loop.nowMs());
        quotas.removeNode(peer.getInfo().node());
        dial(peer);
    }

    private void forget(Peer peer) {
        peers.remove(peer);
        quotas.removeNode(peer.getInfo().node());
        log.info("event=peer-forgotten peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " ending=" + peer.isEnding());
    }

    private void forgetLost() {
        long nowMs = loop.nowMs();
        for (Peer peer : new ArrayList<>(peers.getPeers())) {
            boolean isLost = peer.getLink().isEmpty() && peer.getLostAtMs() > 0;
            if (isLost && nowMs - peer.getLostAtMs() > FORGET_AFTER_MS) {
                forget(peer);
            }
        }
    }
}
