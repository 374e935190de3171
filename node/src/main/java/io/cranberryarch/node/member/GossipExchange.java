package io.cranberryarch.node.member;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.membership.IndirectProbe;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberDelta;
import io.cranberryarch.decision.membership.Membership;
import io.cranberryarch.decision.membership.Probe;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.GossipMessage;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.ProbeAnswerMessage;
import io.cranberryarch.wire.ProbeMessage;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Exchanges member records, withdrawn keys and the settings version with peers. Thread-safe. */
final class GossipExchange {

    private static final long PROBE_TIMEOUT_MS = 1_000;

    private final PeerNetwork network;
    private final SettingsService settings;
    private final Membership membership;
    private final Clock clock;
    private final Runnable onExchanged;
    private volatile ScheduledExecutorService timer;

    /**
     * Creates an exchange.
     *
     * @param network the connections
     * @param settings the settings, whose version is sent to peers
     * @param membership the membership decisions; all access is synchronized on this object
     * @param clock the clock
     * @param onExchanged called after each message that may have changed the membership
     */
    GossipExchange(
            PeerNetwork network, SettingsService settings, Membership membership, Clock clock, Runnable onExchanged) {
        this.network = network;
        this.settings = settings;
        this.membership = membership;
        this.clock = clock;
        this.onExchanged = onExchanged;
    }

    void start(ScheduledExecutorService newTimer) {
        timer = newTimer;
    }

    /** Responds to a gossip message of a peer. */
    void onGossip(PeerConnection connection, Frame frame) {
        GossipMessage gossip = (GossipMessage) frame.message();
        settings.addWithdrawnKeys(gossip.withdrawnKeys());
        MemberDelta response;
        synchronized (membership) {
            response = membership.onDelta(MemberMessages.toDelta(gossip), clock.monotonicMs());
        }
        List<String> keys = settings.selectWithdrawnKeysForResponse(gossip.withdrawnDigest());
        connection.send(frame.id(), toMessage(true, response, keys));
        find(connection.getPeerInstance())
                .ifPresent(peer -> settings.onPeerVersion(
                        peer.instance(), MemberService.toAddress(peer), gossip.settingsVersion(), countLivePeers()));
        onExchanged.run();
    }

    /** Probes a member on behalf of a peer that received no response from it. */
    void onProbe(PeerConnection connection, Frame frame) {
        Optional<Member> target = MemberMessages.toMember(((ProbeMessage) frame.message()).target());
        if (target.isEmpty()) {
            connection.send(frame.id(), new ProbeAnswerMessage(false));
            return;
        }
        MemberDelta joinMessage;
        synchronized (membership) {
            joinMessage = membership.toJoinMessage();
        }
        request(MemberService.toAddress(target.get()), toRequest(joinMessage), PROBE_TIMEOUT_MS)
                .whenComplete((response, failure) ->
                        connection.send(frame.id(), new ProbeAnswerMessage(response instanceof GossipMessage)));
    }

    /** Sends a join message to a peer of which only the address is known. */
    void join(InetSocketAddress seed) {
        MemberDelta joinMessage;
        synchronized (membership) {
            joinMessage = membership.toJoinMessage();
        }
        exchange(seed, joinMessage);
    }

    /** Sends a probe. */
    void sendProbe(Probe probe) {
        exchange(MemberService.toAddress(probe.target()), probe.delta()).whenComplete((response, failure) -> {
            if (failure != null && probe.isFailureReported()) {
                onProbeFailure(probe.target(), failure);
            }
        });
    }

    private CompletableFuture<Message> exchange(InetSocketAddress address, MemberDelta delta) {
        return request(address, toRequest(delta), PROBE_TIMEOUT_MS).whenComplete((message, failure) -> {
            if (message instanceof GossipMessage gossip) {
                onResponse(address, gossip);
            }
        });
    }

    private void onResponse(InetSocketAddress address, GossipMessage gossip) {
        Optional<Member> peer = findByAddress(address);
        settings.addWithdrawnKeys(gossip.withdrawnKeys());
        settings.onWithdrawnKeysResponse(gossip.withdrawnDigest());
        Optional<MemberDelta> next;
        synchronized (membership) {
            next = membership.onAnswer(
                    peer.map(Member::instance).orElse(""), MemberMessages.toDelta(gossip), clock.monotonicMs());
        }
        settings.onPeerVersion(
                peer.map(Member::instance).orElse(address.toString()),
                address,
                gossip.settingsVersion(),
                countLivePeers());
        onExchanged.run();
        next.ifPresent(delta -> exchange(address, delta));
    }

    private void onProbeFailure(Member target, Throwable failure) {
        Logger.debug("probe-unanswered instance={} reason=\"{}\"", target.instance(), failure.getMessage());
        List<IndirectProbe> probes;
        synchronized (membership) {
            probes = membership.onFailure(
                    target, clock.monotonicMs(), ThreadLocalRandom.current().nextLong());
        }
        for (IndirectProbe probe : probes) {
            ProbeMessage message = new ProbeMessage(MemberMessages.toRecord(probe.target()));
            request(MemberService.toAddress(probe.via()), message, 2 * PROBE_TIMEOUT_MS)
                    .whenComplete((response, requestFailure) -> onIndirectProbeResponse(probe, response));
        }
        onExchanged.run();
    }

    private void onIndirectProbeResponse(IndirectProbe probe, Message response) {
        boolean isAnswered = response instanceof ProbeAnswerMessage result && result.isAnswered();
        synchronized (membership) {
            membership.onIndirect(probe.target(), isAnswered, clock.monotonicMs());
        }
        onExchanged.run();
    }

    private CompletableFuture<Message> request(InetSocketAddress address, Message message, long timeoutMs) {
        CompletableFuture<Message> response = network.connect(address).thenCompose(connection -> {
            PeerConnection.PendingRequest pending = connection.request(message);
            timer.schedule(() -> connection.removeRequest(pending.id()), timeoutMs, TimeUnit.MILLISECONDS);
            return pending.response();
        });
        return response.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private GossipMessage toRequest(MemberDelta delta) {
        return toMessage(false, delta, settings.selectWithdrawnKeysForRequest());
    }

    private GossipMessage toMessage(boolean isResponse, MemberDelta delta, List<String> keys) {
        return new GossipMessage(
                isResponse,
                settings.getVersion(),
                delta.digest(),
                delta.bucketDigests(),
                MemberMessages.toRecords(delta),
                settings.getWithdrawnDigest(),
                keys);
    }

    private Optional<Member> find(String instance) {
        synchronized (membership) {
            return membership.getTable().find(instance);
        }
    }

    private Optional<Member> findByAddress(InetSocketAddress address) {
        for (Member member : getMembers()) {
            if (member.state().isLive() && MemberService.toAddress(member).equals(address)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private int countLivePeers() {
        synchronized (membership) {
            return membership.getTable().findLive().size() - 1;
        }
    }

    private Collection<Member> getMembers() {
        synchronized (membership) {
            return membership.getTable().getAll();
        }
    }
}
