package io.cranberryarch.node.member;

import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.membership.MemberTable;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.GossipMessage;
import io.cranberryarch.wire.MemberRecord;
import io.cranberryarch.wire.Message;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Keeps this node's record, and exchanges records with a random peer at a fixed interval. Thread-safe. */
public final class MemberService {

    private static final long GOSSIP_INTERVAL_MS = 300;
    private static final MemberState[] STATES = MemberState.values();

    private final PeerNetwork network;
    private final SettingsService settings;
    private final List<InetSocketAddress> seeds;
    private final MemberTable table = new MemberTable();
    private Member self;

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
     */
    public MemberService(
            NodeIdentity identity,
            String host,
            int peerPort,
            int slots,
            List<InetSocketAddress> seeds,
            PeerNetwork network,
            SettingsService settings) {
        this.network = network;
        this.settings = settings;
        this.seeds = List.copyOf(seeds);
        this.self = new Member(
                identity.instance(),
                identity.incarnation(),
                0,
                MemberState.STARTING,
                identity.zone(),
                identity.service(),
                host,
                peerPort,
                slots);
        table.merge(self);
    }

    /**
     * Starts the exchange.
     *
     * @param timer runs it
     */
    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::gossip, 0, GOSSIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gets this node's own record.
     *
     * @return the record
     */
    public synchronized Member getSelf() {
        return self;
    }

    /**
     * Changes this node's own state and tells some peers at once.
     *
     * @param state the new state
     */
    public void setState(MemberState state) {
        synchronized (this) {
            if (self.state() == state) {
                return;
            }
            self = self.toState(state);
            table.merge(self);
        }
        Logger.info("member-state state={}", state);
        spread();
    }

    /** Tells every known peer of this node's record, withdrawn keys and settings version at once. */
    public void spread() {
        for (Member member : getMembers()) {
            if (!isSelf(member) && member.state() != MemberState.GONE) {
                exchange(toAddress(member));
            }
        }
    }

    /**
     * Lists the members that take calls for a service.
     *
     * @param service the service
     * @return the members
     */
    public synchronized List<Member> findServing(String service) {
        return table.findServing(service);
    }

    /**
     * Lists all members.
     *
     * @return the records
     */
    public synchronized Collection<Member> getMembers() {
        return table.getAll();
    }

    /**
     * Answers a peer's gossip.
     *
     * @param connection the connection
     * @param frame the frame with the gossip
     */
    public void onGossip(PeerConnection connection, Frame frame) {
        merge((GossipMessage) frame.message());
        connection.send(frame.id(), toMessage(true));
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

    private void gossip() {
        try {
            List<InetSocketAddress> targets = new ArrayList<>();
            for (Member member : getMembers()) {
                if (!isSelf(member) && member.state() != MemberState.GONE) {
                    targets.add(toAddress(member));
                }
            }
            if (targets.isEmpty()) {
                targets.addAll(seeds);
            }
            if (!targets.isEmpty()) {
                exchange(targets.get(ThreadLocalRandom.current().nextInt(targets.size())));
            }
        } catch (RuntimeException e) {
            Logger.error(e, "gossip-failed");
        }
    }

    private void exchange(InetSocketAddress address) {
        network.connect(address)
                .thenCompose(connection -> connection.request(toMessage(false)).answer())
                .whenComplete((message, failure) -> onAnswer(address, message, failure));
    }

    private void onAnswer(InetSocketAddress address, Message message, Throwable failure) {
        if (failure != null) {
            Logger.debug("gossip-unanswered address={} reason=\"{}\"", address, failure.getMessage());
        } else if (message instanceof GossipMessage gossip) {
            merge(gossip);
            settings.onPeerVersion(address, gossip.settingsVersion());
        }
    }

    private void merge(GossipMessage gossip) {
        synchronized (this) {
            for (MemberRecord record : gossip.members()) {
                mergeRecord(record);
            }
        }
        settings.addWithdrawnKeys(gossip.withdrawnKeys());
    }

    private void mergeRecord(MemberRecord record) {
        if (record.state() < 0 || record.state() >= STATES.length) {
            return;
        }
        Member member = new Member(
                record.instance(),
                record.incarnation(),
                record.sequence(),
                STATES[record.state()],
                record.zone(),
                record.service(),
                record.host(),
                record.peerPort(),
                record.slots());
        if (!member.instance().equals(self.instance())) {
            table.merge(member);
        }
    }

    private synchronized GossipMessage toMessage(boolean isAnswer) {
        List<MemberRecord> records = new ArrayList<>();
        for (Member member : table.getAll()) {
            records.add(new MemberRecord(
                    member.instance(),
                    member.incarnation(),
                    member.sequence(),
                    member.state().ordinal(),
                    member.zone(),
                    member.service(),
                    member.host(),
                    member.peerPort(),
                    member.slots()));
        }
        return new GossipMessage(isAnswer, settings.getVersion(), records, settings.getWithdrawnKeys());
    }
}
