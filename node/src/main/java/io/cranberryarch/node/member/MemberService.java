package io.cranberryarch.node.member;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.membership.Membership;
import io.cranberryarch.decision.membership.Probe;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.wire.Frame;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** Maintains the membership of the fleet, and exchanges it with peers at intervals and on changes. Thread-safe. */
public final class MemberService {

    private static final long BROADCAST_DELAY_MS = 10;
    private static final int SEED_INTERVAL_ROUNDS = 60;

    private final SettingsService settings;
    private final NodeMetrics metrics;
    private final Clock clock;
    private final List<InetSocketAddress> seeds;
    private final Membership membership;
    private final GossipExchange exchange;
    private final AtomicBoolean isBroadcastScheduled = new AtomicBoolean();
    private volatile ScheduledExecutorService timer;
    private int round;

    /**
     * Creates the service.
     *
     * @param identity the identity of this node
     * @param host the host announced to peers
     * @param peerPort the port announced to peers
     * @param slots the maximum number of requests that the upstream runs concurrently
     * @param seeds the addresses of peers to join
     * @param network the connections
     * @param settings the settings, whose version is sent to peers
     * @param metrics counts membership changes
     * @param clock the clock
     */
    public MemberService(
            NodeIdentity identity,
            String host,
            int peerPort,
            int slots,
            List<InetSocketAddress> seeds,
            PeerNetwork network,
            SettingsService settings,
            NodeMetrics metrics,
            Clock clock) {
        this.settings = settings;
        this.metrics = metrics;
        this.clock = clock;
        this.seeds = List.copyOf(seeds);
        Member self = new Member(
                identity.instance(),
                identity.incarnation(),
                0,
                MemberState.STARTING,
                identity.zone(),
                identity.service(),
                host,
                peerPort,
                slots);
        this.membership = new Membership(self, clock.monotonicMs());
        this.exchange = new GossipExchange(network, settings, membership, clock, this::broadcastChanges);
    }

    /**
     * Starts the exchange with peers.
     *
     * @param newTimer schedules the exchange
     */
    public void start(ScheduledExecutorService newTimer) {
        timer = newTimer;
        exchange.start(newTimer);
        settings.setListener(this::scheduleBroadcast);
        newTimer.scheduleAtFixedRate(this::runRound, 0, Membership.ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gets this node's own record.
     *
     * @return the record
     */
    public Member getSelf() {
        synchronized (membership) {
            return membership.getSelf();
        }
    }

    /**
     * Sets the state of this node and broadcasts it without waiting for the next round.
     *
     * @param state the new state
     */
    public void setState(MemberState state) {
        synchronized (membership) {
            if (membership.getSelf().state() == state) {
                return;
            }
            membership.setSelf(membership.getSelf().toState(state), clock.monotonicMs());
        }
        Logger.info("member-state state={}", state);
        scheduleBroadcast();
    }

    /**
     * Sets the number of slots of the upstream and broadcasts it without waiting for the next round.
     *
     * @param slots the maximum number of requests that the upstream runs concurrently
     */
    public void setSlots(int slots) {
        synchronized (membership) {
            if (membership.getSelf().slots() == slots) {
                return;
            }
            membership.setSelf(membership.getSelf().toSlots(slots), clock.monotonicMs());
        }
        scheduleBroadcast();
    }

    /** Schedules a broadcast of changes to the peers of this node, which forward what is new to them. */
    public void scheduleBroadcast() {
        ScheduledExecutorService current = timer;
        if (current != null && !current.isShutdown() && isBroadcastScheduled.compareAndSet(false, true)) {
            current.schedule(this::broadcast, BROADCAST_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Gets the members that serve calls for a service.
     *
     * @param service the service
     * @return the members
     */
    public List<Member> findServing(String service) {
        synchronized (membership) {
            return membership.getTable().findServing(service);
        }
    }

    /**
     * Gets all members.
     *
     * @return the records
     */
    public Collection<Member> getMembers() {
        synchronized (membership) {
            return membership.getTable().getAll();
        }
    }

    /**
     * Responds to a gossip message of a peer.
     *
     * @param connection the connection
     * @param frame the frame with the gossip message
     */
    public void onGossip(PeerConnection connection, Frame frame) {
        exchange.onGossip(connection, frame);
    }

    /**
     * Probes a member on behalf of a peer that received no response from it.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onProbe(PeerConnection connection, Frame frame) {
        exchange.onProbe(connection, frame);
    }

    /**
     * Checks whether a record describes this node.
     *
     * @param member the record
     * @return whether the record has the instance name of this node
     */
    public boolean isSelf(Member member) {
        return member.instance().equals(getSelf().instance());
    }

    /**
     * Gets the address of a member.
     *
     * @param member the member
     * @return the address for connections from peers
     */
    public static InetSocketAddress toAddress(Member member) {
        return new InetSocketAddress(member.host(), member.peerPort());
    }

    private void runRound() {
        try {
            List<Probe> probes;
            boolean hasNoPeers;
            synchronized (membership) {
                probes = membership.onRound(clock.monotonicMs(), nextRandom());
                hasNoPeers = membership.hasNoPeers();
                settings.setDelegate(membership.isDelegate());
            }
            probes.forEach(exchange::sendProbe);
            if (!seeds.isEmpty() && (hasNoPeers || round % SEED_INTERVAL_ROUNDS == 0)) {
                exchange.join(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())));
            }
            round++;
            broadcastChanges();
        } catch (RuntimeException e) {
            Logger.error(e, "member-round-failed");
        }
    }

    private void broadcast() {
        isBroadcastScheduled.set(false);
        try {
            List<Probe> probes;
            synchronized (membership) {
                probes = membership.toBroadcast();
            }
            probes.forEach(exchange::sendProbe);
        } catch (RuntimeException e) {
            Logger.error(e, "member-news-failed");
        }
    }

    private void broadcastChanges() {
        boolean isChanged;
        synchronized (membership) {
            isChanged = membership.getAndClearChanged();
        }
        if (isChanged) {
            metrics.getRegistry().counter("member_changes").inc();
            scheduleBroadcast();
        }
    }

    private static long nextRandom() {
        return ThreadLocalRandom.current().nextLong();
    }
}
