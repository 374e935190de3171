package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.TcpListener;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.wire.AccountUsage;
import io.cranberryarch.wire.KnownUpstreamMessage;
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
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/** Maintains the connections to the other nodes and exchanges statuses with them. */
final class PeerService implements AutoCloseable {

    private static final long STATUS_INTERVAL_MS = 500;

    /** Increase of the status interval for each connection, which bounds the cost of statuses in a large fleet. */
    private static final long STATUS_INTERVAL_PER_PEER_MS = 5;

    /** Number of consecutive status intervals without data after which a peer counts as silent. */
    private static final int SILENCE_TIMEOUT_INTERVALS = 2;

    /** Maximum delay of a status while requests are pending at the peer. */
    private static final long MAX_STATUS_DELAY_MS = 300;

    /** Ratio of the status interval after which a borrowed token may be reported. */
    private static final double EARLY_STATUS_RATIO = 0.25;

    /**
     * Time for which statuses announce a changed upstream: while there are two connections with a peer, a status on one
     * may overtake a status on the other.
     */
    private static final long UPSTREAM_ANNOUNCEMENT_MS = 3_000;

    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;

    /** Time for which an unreachable peer is retained. */
    private static final long LOST_PEER_RETENTION_MS = 120_000;

    private static final long CHECK_INTERVAL_MS = 100;

    /** Interval at which the list of nodes is requested from peers, until it has been read from the store. */
    private static final long PEERS_REQUEST_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final long incarnation;
    private final PeerDirectory peers;
    private final Gate gate;
    private final CompactHeaders compactHeaders;
    private final UpstreamState upstream;
    private final UpstreamReportService reports;
    private final RateLimitTracker rateLimit;
    private final RulesService rules;
    private final EventLog log;
    private final QuotaService quotas;
    private final WorkDemand workDemand;
    private final Set<PeerLink> links = new LinkedHashSet<>();
    private final Set<PeerInfo> ignoredPeers = new HashSet<>();
    private TcpListener listener;
    private PeerInfo self;
    private PeerStatusMessage.Upstream announcedUpstream = PeerStatusMessage.Upstream.UNKNOWN;
    private long upstreamChangedAtMs;
    private long lastStatusAtMs;
    private long lastPeersRequestAtMs = Long.MIN_VALUE;
    private boolean isFleetRead;

    PeerService(
            EventLoop loop,
            PeerInfo self,
            long incarnation,
            PeerDirectory peers,
            Gate gate,
            CompactHeaders compactHeaders,
            UpstreamState upstream,
            UpstreamReportService reports,
            RateLimitTracker rateLimit,
            RulesService rules,
            EventLog log,
            QuotaService quotas,
            WorkDemand workDemand) {
        this.loop = loop;
        this.self = self;
        this.incarnation = incarnation;
        this.peers = peers;
        this.gate = gate;
        this.compactHeaders = compactHeaders;
        this.upstream = upstream;
        this.reports = reports;
        this.rateLimit = rateLimit;
        this.rules = rules;
        this.log = log;
        this.quotas = quotas;
        this.workDemand = workDemand;
    }

    /** Binds the port for peers and starts maintaining the connections. */
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
        // Nodes that pass on a response which names a limit must know of it before the response.
        rateLimit.addListener(this::broadcastStatus);
        loop.scheduleWithFixedDelay(CHECK_INTERVAL_MS, this::check);
    }

    /** Returns the information about this node that is sent to other nodes, once the port is bound. */
    PeerInfo getSelf() {
        return self;
    }

    CompactHeaders getCompactHeaders() {
        return compactHeaders;
    }

    Gate getGate() {
        return gate;
    }

    /** Adds the nodes that were read from the store. */
    void onFleetRead(Collection<PeerInfo> infos) {
        isFleetRead = true;
        addPeers(infos);
        peers.onFleetKnown();
    }

    private void addPeers(Collection<PeerInfo> infos) {
        for (PeerInfo info : infos) {
            if (info.node().equals(self.node())) {
                continue;
            }
            if (IniFile.toAddress(info.address()).isEmpty()) {
                if (ignoredPeers.add(info)) {
                    log.info("event=peer-ignored peer=" + info.node() + " cause=\"malformed address\"");
                }
                continue;
            }
            if (peers.find(info.node()).isEmpty()) {
                dial(peers.getOrAdd(info));
            }
        }
    }

    void broadcastStatus() {
        lastStatusAtMs = loop.nowMs();
        PeerStatusMessage status = toDeltaStatus();
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
            case KNOWN_UPSTREAM -> onKnownUpstream(((KnownUpstreamMessage) message).upstream());
            case RULES -> rules.onDocument(((RulesMessage) message).document(), "peer");
            default -> Logger.warn("event=peer-message-ignored type={}", message.getType());
        }
    }

    void onPeerRegained(PeerLink link) {
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
            rules.onPeerLost();
            log.info("event=peer-lost peer=" + peer.getInfo().node() + " zone="
                    + peer.getInfo().zone() + " cause=\"" + cause + "\"");
        }
        if (peer.isPermanentShutdown()) {
            removePeer(peer);
            return;
        }
        if (link.isDialer()) {
            peer.setDialing(false);
        }
        if (peer.getLink().isEmpty() && !peer.isDialing()) {
            scheduleRedial(peer);
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
        // The dialed address now belongs to another node.
        link.getPeer().filter(dialed -> dialed != peer).ifPresent(this::removePeer);
        link.setPeer(peer);
        link.setIncarnation(hello.incarnation());
        if (!link.isDialer()) {
            sendHello(link);
        }
        link.send(toCompleteStatus());
        // Precedes all requests on the connection, so that a restarted node knows it before it sends them on.
        peer.findBindingUpstream().ifPresent(known -> link.send(new KnownUpstreamMessage(known)));
        peer.setDialing(false);
        peer.setBackoffMs(0);
        Optional<PeerLink> previous = peer.getLink().filter(current -> current != link);
        if (previous.isEmpty() || isPreferred(link, previous.get(), peer)) {
            peer.setLink(Optional.of(link));
            peers.invalidateCandidates();
            log.info("event=peer-connected peer=" + peer.getInfo().node() + " zone="
                    + peer.getInfo().zone() + " address=" + peer.getInfo().address() + " incarnation="
                    + hello.incarnation());
        }
        requestPeers(link);
    }

    /** Requests the list of nodes from a peer, until it has been read from the store. */
    private void requestPeers(PeerLink link) {
        boolean isDue = lastPeersRequestAtMs == Long.MIN_VALUE
                || loop.nowMs() - lastPeersRequestAtMs >= PEERS_REQUEST_INTERVAL_MS;
        if (!isFleetRead && isDue) {
            lastPeersRequestAtMs = loop.nowMs();
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
        addPeers(message.peers());
        peers.onFleetKnown();
    }

    /**
     * Returns whether a connection replaces the previous one. If both nodes connected at once, both keep the connection
     * that was opened by the node with the smaller name.
     */
    private boolean isPreferred(PeerLink link, PeerLink previous, Peer peer) {
        if (previous.isClosed() || !previous.isUsable() || link.getIncarnation() != previous.getIncarnation()) {
            return true;
        }
        boolean isLocalNameSmaller = self.node().compareTo(peer.getInfo().node()) < 0;
        return link.isDialer() == isLocalNameSmaller;
    }

    private void onStatus(Peer peer, PeerStatusMessage status) {
        if (status.isPermanentShutdown()) {
            peer.setPermanentShutdown();
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

    /** Applies what a peer knows of this node's upstream from an earlier process of this node. */
    private void onKnownUpstream(PeerStatusMessage.Upstream known) {
        UpstreamIncarnation incarnation = new UpstreamIncarnation(known.instance(), known.startedAtMs());
        if (known.isLeaving()) {
            reports.restoreLeave(incarnation);
        }
        known.findRateLimitPerS().ifPresent(ratePerS -> rateLimit.restore(incarnation, ratePerS));
    }

    private PeerStatusMessage toCompleteStatus() {
        return toStatus(Optional.of(toUpstream()), workDemand.getReported(), true, quotas.getUsage());
    }

    /** Returns the changes since the last status and records them as sent to all connected nodes. */
    private PeerStatusMessage toDeltaStatus() {
        PeerStatusMessage.Upstream currentUpstream = toUpstream();
        if (!currentUpstream.equals(announcedUpstream)) {
            announcedUpstream = currentUpstream;
            upstreamChangedAtMs = loop.nowMs();
        }
        boolean isUpstreamAnnounced = loop.nowMs() - upstreamChangedAtMs < UPSTREAM_ANNOUNCEMENT_MS;
        return toStatus(
                isUpstreamAnnounced ? Optional.of(currentUpstream) : Optional.empty(),
                workDemand.report(loop.nowMs()),
                false,
                quotas.report());
    }

    private PeerStatusMessage.Upstream toUpstream() {
        return new PeerStatusMessage.Upstream(
                upstream.getInstance(),
                upstream.getIncarnation().startedAtMs(),
                upstream.getService(),
                upstream.isUpstreamLeaving(),
                rateLimit.getReportedRatePerS());
    }

    private PeerStatusMessage toStatus(
            Optional<PeerStatusMessage.Upstream> announced,
            Map<String, Double> demand,
            boolean isComplete,
            Map<String, AccountUsage> usageByAccount) {
        return new PeerStatusMessage(
                announced,
                upstream.isAccepting(),
                upstream.isPermanentShutdown(),
                upstream.isKnown() ? gate.getUsableLimit() : 1,
                gate.countInFlight(),
                gate.getFailureRatio(),
                upstream.getRemainingColdStartMs(),
                rules.getVersion(),
                demand,
                isComplete,
                usageByAccount);
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

    private void scheduleRedial(Peer peer) {
        peer.setBackoffMs(Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, peer.getBackoffMs() * 2)));
        loop.schedule(peer.getBackoffMs(), () -> {
            if (peers.find(peer.getInfo().node()).filter(found -> found == peer).isPresent()) {
                dial(peer);
            }
        });
    }

    private long getStatusIntervalMs() {
        return STATUS_INTERVAL_MS + STATUS_INTERVAL_PER_PEER_MS * links.size();
    }

    private void check() {
        long sinceStatusMs = loop.nowMs() - lastStatusAtMs;
        boolean isEarlyStatusDue = sinceStatusMs >= EARLY_STATUS_RATIO * getStatusIntervalMs() && quotas.isReportDue();
        if (isEarlyStatusDue || sinceStatusMs >= getStatusIntervalMs()) {
            broadcastStatus();
        }
        long silenceTimeoutMs = SILENCE_TIMEOUT_INTERVALS * getStatusIntervalMs();
        long pendingSilenceTimeoutMs = getStatusIntervalMs() + MAX_STATUS_DELAY_MS;
        for (PeerLink link : new ArrayList<>(links)) {
            boolean isCurrent = link.getPeer()
                    .flatMap(Peer::getLink)
                    .filter(current -> current == link)
                    .isPresent();
            long allowedMs = link.isAwaitingResponses() ? pendingSilenceTimeoutMs : silenceTimeoutMs;
            if (isCurrent && link.isUsable()) {
                requestPeers(link);
            }
            if (isCurrent && link.isUsable() && link.getSilentMs() > allowedMs) {
                onSilent(link);
            } else if (!isCurrent
                    && link.isConnected()
                    && !link.hasRequestsInProgress()
                    && link.getSilentMs() > silenceTimeoutMs) {
                link.close();
            }
        }
        removeLostPeers();
    }

    private void onSilent(PeerLink link) {
        Peer peer = link.getPeer().orElseThrow();
        log.info("event=peer-silent peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " silent-ms=" + link.getSilentMs());
        peers.invalidateCandidates();
        link.onSilent();
        // The connection may stay silent for good while new connections work.
        peer.setLink(Optional.empty());
        peer.setLostAtMs(loop.nowMs());
        quotas.removeNode(peer.getInfo().node());
        rules.onPeerLost();
        dial(peer);
    }

    private void removePeer(Peer peer) {
        peers.remove(peer);
        quotas.removeNode(peer.getInfo().node());
        log.info("event=peer-forgotten peer=" + peer.getInfo().node() + " zone="
                + peer.getInfo().zone() + " ending=" + peer.isPermanentShutdown());
    }

    private void removeLostPeers() {
        long nowMs = loop.nowMs();
        for (Peer peer : new ArrayList<>(peers.getPeers())) {
            boolean isLost = peer.getLink().isEmpty() && peer.getLostAtMs() > 0;
            if (isLost && nowMs - peer.getLostAtMs() > LOST_PEER_RETENTION_MS) {
                removePeer(peer);
            }
        }
    }
}
