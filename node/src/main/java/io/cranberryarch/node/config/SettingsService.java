package io.cranberryarch.node.config;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.config.SettingsHistory;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.settings.FleetSettings;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingTree;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.SettingsLog;
import io.cranberryarch.store.SettingsSnapshots;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.WithdrawalStore;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.SettingsPullMessage;
import io.cranberryarch.wire.SettingsPushMessage;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The shared settings and withdrawn keys in force at this node. Versions only grow; they come from the platform, which
 * the delegates of a zone read, or from peers.
 *
 * <p>Thread-safe.
 */
public final class SettingsService {

    private static final long POLL_INTERVAL_MS = 500;

    private final WithdrawalService withdrawals;
    private final SettingsReader reader;
    private final SettingsCommitter commits;
    private final PeerNetwork network;
    private final NodeMetrics metrics;
    private final SettingsHistory history = new SettingsHistory();
    private volatile State state;
    private volatile boolean ready;
    private volatile Runnable listener = () -> {};

    /**
     * Creates the service with empty settings.
     *
     * @param table the platform's table
     * @param objects the platform's object store
     * @param network the connections to peers
     * @param metrics counts changes
     * @param clock the clock
     */
    public SettingsService(
            TableStore table, ObjectStore objects, PeerNetwork network, NodeMetrics metrics, Clock clock) {
        SettingsLog log = new SettingsLog(table);
        this.withdrawals = new WithdrawalService(new WithdrawalStore(table), metrics);
        this.reader = new SettingsReader(this, log, new SettingsSnapshots(objects), withdrawals, clock);
        this.commits = new SettingsCommitter(this, reader, log, withdrawals, clock);
        this.network = network;
        this.metrics = metrics;
        this.state = toState(SettingTree.EMPTY);
    }

    /**
     * Starts to read the platform.
     *
     * @param blocking runs reads, may block
     */
    public void start(ScheduledExecutorService blocking) {
        blocking.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets who is told of a new version or a withdrawn key.
     *
     * @param newListener must not block
     */
    public void setListener(Runnable newListener) {
        listener = newListener;
    }

    /**
     * Tells whether this node reads the platform for its zone.
     *
     * @param isDelegate whether it does
     */
    public void setDelegate(boolean isDelegate) {
        reader.setDelegate(isDelegate);
    }

    /**
     * Gets the settings in force.
     *
     * @return the typed view
     */
    public FleetSettings getFleetSettings() {
        return state.fleet;
    }

    /**
     * Gets the tree in force.
     *
     * @return the tree
     */
    public SettingTree getTree() {
        return state.tree;
    }

    /**
     * Gets the version in force.
     *
     * @return the version
     */
    public long getVersion() {
        return state.tree.getVersion();
    }

    /**
     * Checks whether this node has learned the highest version that the platform, or its peers while it is down, know.
     *
     * @return whether keyed routes may be served
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Checks the last contact with the platform.
     *
     * @return whether it succeeded
     */
    public boolean isPlatformReachable() {
        return reader.isPlatformReachable();
    }

    /**
     * Checks whether a key was withdrawn.
     *
     * @param keyId the public identifier
     * @return whether it no longer works
     */
    public boolean isWithdrawn(String keyId) {
        return withdrawals.contains(keyId);
    }

    /**
     * Adds withdrawn keys. A withdrawal is never undone.
     *
     * @param keyIds public identifiers
     * @return whether one of them is new
     */
    public boolean addWithdrawnKeys(Collection<String> keyIds) {
        boolean isNew = withdrawals.add(keyIds);
        if (isNew) {
            onWithdrawn();
        }
        return isNew;
    }

    /**
     * Gets the digest of the withdrawn keys.
     *
     * @return the same number at nodes that know the same keys
     */
    public long getWithdrawnDigest() {
        return withdrawals.getDigest();
    }

    /**
     * Chooses the withdrawn keys to tell a peer first.
     *
     * @return public identifiers
     */
    public List<String> selectWithdrawnKeysForRequest() {
        return withdrawals.toRequest();
    }

    /**
     * Chooses the withdrawn keys to answer a peer.
     *
     * @param peerDigest the digest of the peer's keys
     * @return public identifiers, empty if the peer knows them all
     */
    public List<String> selectWithdrawnKeysForResponse(long peerDigest) {
        return withdrawals.toAnswer(peerDigest);
    }

    /**
     * Notes the digest of the withdrawn keys in a peer's answer.
     *
     * @param peerDigest the digest of the peer's keys
     */
    public void onWithdrawnKeysResponse(long peerDigest) {
        withdrawals.onAnswer(peerDigest);
    }

    /**
     * Gets the changes kept in memory.
     *
     * @return changes in ascending order of their versions
     */
    public List<SettingChange> getChanges() {
        synchronized (history) {
            return history.getChanges();
        }
    }

    /**
     * Notes the version of a peer, and asks for its settings if it is newer.
     *
     * @param peer the name of the peer's instance
     * @param address the address of the peer
     * @param version the version in force there
     * @param others the number of other live members known
     */
    public void onPeerVersion(String peer, InetSocketAddress address, long version, int others) {
        synchronized (history) {
            history.onPeerVersion(peer, version);
            ready = history.isReady(others);
        }
        if (version <= getVersion()) {
            return;
        }
        network.connect(address)
                .thenCompose(connection -> connection
                        .request(new SettingsPullMessage(getVersion()))
                        .response())
                .whenComplete(this::onPush);
    }

    /**
     * Answers a peer that asks for settings.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onPull(PeerConnection connection, Frame frame) {
        long after = ((SettingsPullMessage) frame.message()).afterVersion();
        SettingsPushMessage push;
        synchronized (history) {
            SettingTree tree = history.getTree();
            push = history.toPush(after)
                    .map(newer -> new SettingsPushMessage(0, new TreeMap<>(), newer))
                    .orElseGet(() ->
                            new SettingsPushMessage(tree.getVersion(), new TreeMap<>(tree.getValues()), List.of()));
        }
        connection.send(frame.id(), push);
    }

    /**
     * Commits a change, which is checked against the newest settings of the platform first. Blocks.
     *
     * @param changeId chosen by the author, the same in every attempt
     * @param author the operator
     * @param baseVersion the version that the author has seen
     * @param subtree the path within which a later change by another author is a conflict
     * @param edits what to set and remove, all within the subtree
     * @return the version of the change
     * @throws SettingsConflictException if the subtree was changed after the base version
     * @throws SettingsException if the settings would not be valid
     * @throws PlatformException if the platform gives no answer; the change may have been accepted
     */
    public long propose(String changeId, String author, long baseVersion, String subtree, List<SettingEdit> edits)
            throws SettingsConflictException, SettingsException, PlatformException {
        return commits.propose(changeId, author, baseVersion, subtree, edits);
    }

    Optional<List<SettingChange>> findChangesAfter(long version) {
        synchronized (history) {
            return history.findAfter(version);
        }
    }

    /** Reads the platform if that is due. Blocks. */
    void poll() {
        reader.poll();
    }

    /** Notes whether the platform answered. */
    void onPlatform(boolean isAnswered) {
        synchronized (history) {
            history.onPlatformRead(isAnswered);
            ready = history.isReady(0);
        }
    }

    /** Notes that keys were withdrawn. */
    void onWithdrawn() {
        listener.run();
    }

    private void onPush(Message message, Throwable failure) {
        if (failure != null || !(message instanceof SettingsPushMessage push)) {
            return;
        }
        if (push.treeVersion() > 0) {
            replace(SettingTree.of(push.treeVersion(), push.tree()));
        }
        apply(push.changes());
    }

    void replace(SettingTree tree) {
        synchronized (history) {
            if (!history.replace(tree)) {
                return;
            }
            state = toState(tree);
        }
        metrics.getRegistry().counter("settings_replacements").inc();
        listener.run();
    }

    void apply(List<SettingChange> newer) {
        List<SettingChange> applied;
        synchronized (history) {
            applied = history.apply(newer);
            if (applied.isEmpty()) {
                return;
            }
            state = toState(history.getTree());
        }
        for (SettingChange change : applied) {
            Logger.info("settings-accepted version={} author={}", change.version(), change.author());
        }
        metrics.getRegistry().counter("settings_changes").inc(applied.size());
        listener.run();
    }

    private State toState(SettingTree tree) {
        try {
            return new State(tree, FleetSettings.of(tree));
        } catch (SettingsException e) {
            Logger.error("settings-invalid version={} reason=\"{}\"", tree.getVersion(), e.getMessage());
            return new State(tree, state.fleet);
        }
    }

    /** A tree with its typed view. */
    private record State(SettingTree tree, FleetSettings fleet) {}
}
