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

/** Knows the members of the fleet, and tells peers at intervals and when something changes. Thread-safe. */
public final class MemberService {

    private static final long SPREAD_DELAY_MS = 10;
    private static final int SEED_ROUNDS = 60;

    private final SettingsService settings;
    private final NodeMetrics metrics;
    private final Clock clock;
    private final List<InetSocketAddress> seeds;
    private final Membership membership;
    private final GossipExchange exchange;
    private final AtomicBoolean spreading = new AtomicBoolean();
    private volatile ScheduledExecutorService timer;
    private int round;

    /**
     * Creates the service.
     *
     * @param identity who this node is
     * @param host the address announced to peers
     * @param peerPort the port announced to peers
     * @param slots the slots of the upstream
     * @param seeds peers to contact first
     * @param network the connections
     * @param settings the settings, whose version is told to peers
     * @param metrics counts changes of members
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
        this.exchange = new GossipExchange(network, settings, membership, clock, this::spreadChanges);
    }

    /**
     * Starts the exchange.
     *
     * @param newTimer runs it
     */
    public void start(ScheduledExecutorService newTimer) {
        timer = newTimer;
        exchange.start(newTimer);
        settings.setListener(this::spread);
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
     * Changes this node's own state and tells its peers at once.
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
        spread();
    }

    /**
     * Changes the number of slots of the upstream and tells peers at once.
     *
     * @param slots requests that the upstream runs at once at most
     */
    public void setSlots(int slots) {
        synchronized (membership) {
            if (membership.getSelf().slots() == slots) {
                return;
            }
            membership.setSelf(membership.getSelf().toSlots(slots), clock.monotonicMs());
        }
        spread();
    }

    /** Tells the peers of this node at once what it knows; they pass on what is new to them. */
    public void spread() {
        ScheduledExecutorService current = timer;
        if (current != null && !current.isShutdown() && spreading.compareAndSet(false, true)) {
            current.schedule(this::sendNews, SPREAD_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Lists the members that take calls for a service.
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
     * Lists all members.
     *
     * @return the records
     */
    public Collection<Member> getMembers() {
        synchronized (membership) {
            return membership.getTable().getAll();
        }
    }

    /**
     * Answers a peer's gossip.
     *
     * @param connection the connection
     * @param frame the frame with the gossip
     */
    public void onGossip(PeerConnection connection, Frame frame) {
        exchange.onGossip(connection, frame);
    }

    /**
     * Probes a member for a peer that got no answer from it.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onProbe(PeerConnection connection, Frame frame) {
        exchange.onProbe(connection, frame);
    }

    /**
     * Checks whether a record is this node's own.
     *
     * @param member the record
     * @return whether it names this instance
     */
    public boolean isSelf(Member member) {
        return member.instance().equals(getSelf().instance());
    }

    /**
     * Gets the address of a member.
     *
     * @param member the member
     * @return its address for other nodes
     */
    public static InetSocketAddress toAddress(Member member) {
        return new InetSocketAddress(member.host(), member.peerPort());
    }

    private void runRound() {
        try {
            List<Probe> probes;
            boolean isAlone;
            synchronized (membership) {
                probes = membership.onRound(clock.monotonicMs(), nextRandom());
                isAlone = membership.hasNoPeers();
                settings.setDelegate(membership.isDelegate());
            }
            probes.forEach(exchange::send);
            if (!seeds.isEmpty() && (isAlone || round % SEED_ROUNDS == 0)) {
                exchange.greet(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())));
            }
            round++;
            spreadChanges();
        } catch (RuntimeException e) {
            Logger.error(e, "member-round-failed");
        }
    }

    private void sendNews() {
        spreading.set(false);
        try {
            List<Probe> probes;
            synchronized (membership) {
                probes = membership.toBroadcast();
            }
            probes.forEach(exchange::send);
        } catch (RuntimeException e) {
            Logger.error(e, "member-news-failed");
        }
    }

    private void spreadChanges() {
        boolean isChanged;
        synchronized (membership) {
            isChanged = membership.getAndClearChanged();
        }
        if (isChanged) {
            metrics.getRegistry().counter("member_changes").inc();
            spread();
        }
    }

    private static long nextRandom() {
        return ThreadLocalRandom.current().nextLong();
    }
}
