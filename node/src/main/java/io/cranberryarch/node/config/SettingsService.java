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
 * Holds the shared settings and withdrawn keys in effect at this node. Versions only increase; they are received from
 * the platform, which the delegates of a zone read, or from peers.
 *
 * <p>Thread-safe.
 */
public final class SettingsService {

    private static final long POLL_INTERVAL_MS = 500;

    private final WithdrawalService withdrawals;
    private final SettingsReader reader;
    private final SettingsCommitter committer;
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
        this.committer = new SettingsCommitter(this, reader, log, withdrawals, clock);
        this.network = network;
        this.metrics = metrics;
        this.state = toState(SettingTree.EMPTY);
    }

    /**
     * Starts polling the platform.
     *
     * @param blocking the executor of the reads, which may block
     */
    public void start(ScheduledExecutorService blocking) {
        blocking.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the listener for new versions and withdrawn keys.
     *
     * @param newListener the listener, which must not block
     */
    public void setListener(Runnable newListener) {
        listener = newListener;
    }

    /**
     * Sets whether this node reads the platform on behalf of its zone.
     *
     * @param isDelegate whether this node is a delegate
     */
    public void setDelegate(boolean isDelegate) {
        reader.setDelegate(isDelegate);
    }

    /**
     * Gets the settings in effect.
     *
     * @return the typed view
     */
    public FleetSettings getFleetSettings() {
        return state.fleet;
    }

    /**
     * Gets the setting tree in effect.
     *
     * @return the tree
     */
    public SettingTree getTree() {
        return state.tree;
    }

    /**
     * Gets the version in effect.
     *
     * @return the version
     */
    public long getVersion() {
        return state.tree.getVersion();
    }

    /**
     * Checks whether this node has the highest version of the platform, or of its peers while the platform is down.
     *
     * @return whether routes that require a key may be served
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Checks whether the last request to the platform succeeded.
     *
     * @return whether the platform is reachable
     */
    public boolean isPlatformReachable() {
        return reader.isPlatformReachable();
    }

    /**
     * Checks whether a key was withdrawn.
     *
     * @param keyId the public identifier of the key
     * @return whether the key was withdrawn
     */
    public boolean isWithdrawn(String keyId) {
        return withdrawals.contains(keyId);
    }

    /**
     * Adds withdrawn keys. A withdrawal cannot be reverted.
     *
     * @param keyIds the public identifiers of the keys
     * @return whether at least one of them is new
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
     * @return the digest, equal on nodes that hold the same keys
     */
    public long getWithdrawnDigest() {
        return withdrawals.getDigest();
    }

    /**
     * Selects the withdrawn keys to send in a request to a peer.
     *
     * @return the public identifiers of the keys
     */
    public List<String> selectWithdrawnKeysForRequest() {
        return withdrawals.selectForRequest();
    }

    /**
     * Selects the withdrawn keys to send in the response to a peer.
     *
     * @param peerDigest the digest of the peer's keys
     * @return the public identifiers of the keys, empty if the peer holds the same keys
     */
    public List<String> selectWithdrawnKeysForResponse(long peerDigest) {
        return withdrawals.selectForResponse(peerDigest);
    }

    /**
     * Records the digest of the withdrawn keys in a peer's response.
     *
     * @param peerDigest the digest of the peer's keys
     */
    public void onWithdrawnKeysResponse(long peerDigest) {
        withdrawals.onResponse(peerDigest);
    }

    /**
     * Gets the changes held in memory.
     *
     * @return the changes in ascending order of their versions
     */
    public List<SettingChange> getChanges() {
        synchronized (history) {
            return history.getChanges();
        }
    }

    /**
     * Records the version of a peer, and requests its settings if the version is newer.
     *
     * @param peer the name of the peer's instance
     * @param address the address of the peer
     * @param version the version in effect at the peer
     * @param others the number of other live members
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
     * Sends settings to a peer that requested them.
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
     * Commits a change after validating it against the latest settings of the platform. Blocks.
     *
     * @param changeId the identifier chosen by the author, the same in every attempt
     * @param author the operator
     * @param baseVersion the version on which the author based the change
     * @param subtree the path within which a later change by another author is a conflict
     * @param edits the settings to set and remove, all within the subtree
     * @return the version of the change
     * @throws SettingsConflictException if the subtree was changed after the base version
     * @throws SettingsException if the resulting settings would be invalid
     * @throws PlatformException if the platform does not respond; the change may have been accepted
     */
    public long propose(String changeId, String author, long baseVersion, String subtree, List<SettingEdit> edits)
            throws SettingsConflictException, SettingsException, PlatformException {
        return committer.propose(changeId, author, baseVersion, subtree, edits);
    }

    Optional<List<SettingChange>> findChangesAfter(long version) {
        synchronized (history) {
            return history.findAfter(version);
        }
    }

    /** Reads the platform if a read is due. Blocks. */
    void poll() {
        reader.poll();
    }

    /** Records whether the platform responded. */
    void onPlatformContact(boolean isReachable) {
        synchronized (history) {
            history.onPlatformRead(isReachable);
            ready = history.isReady(0);
        }
    }

    /** Notifies the listener that keys were withdrawn. */
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

    /** A setting tree and its typed view. */
    private record State(SettingTree tree, FleetSettings fleet) {}
}
