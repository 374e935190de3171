package io.cranberryarch.node.config;

import io.cranberryarch.base.Clock;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.platform.PlatformException;
import io.cranberryarch.platform.SettingsLog;
import io.cranberryarch.settings.FleetSettings;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingTree;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.SettingsPullMessage;
import io.cranberryarch.wire.SettingsPushMessage;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The shared settings in force at this node. Versions only grow; they come from the platform or from peers.
 *
 * <p>Thread-safe.
 */
public final class SettingsService {

    private static final long POLL_INTERVAL_MS = 500;
    private static final int MAX_CHANGES_KEPT = 2_000;
    private static final int MAX_COMMIT_ATTEMPTS = 20;

    private final SettingsLog log;
    private final PeerNetwork network;
    private final Clock clock;
    private final List<SettingChange> changes = new ArrayList<>();
    private final Set<String> withdrawnKeys = ConcurrentHashMap.newKeySet();
    private volatile State state;
    private volatile boolean ready;
    private volatile boolean platformReachable;

    /**
     * Creates the service with empty settings.
     *
     * @param log the log in the platform
     * @param network the connections to peers
     * @param clock the clock
     */
    public SettingsService(SettingsLog log, PeerNetwork network, Clock clock) {
        this.log = log;
        this.network = network;
        this.clock = clock;
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
     * Gets the settings in force.
     *
     * @return the typed view
     */
    public FleetSettings getFleet() {
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
     * Checks whether this node has learned settings from the platform or a peer since it started.
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
        return platformReachable;
    }

    /**
     * Checks whether a key was withdrawn.
     *
     * @param keyId the public identifier
     * @return whether it no longer works
     */
    public boolean isWithdrawn(String keyId) {
        return withdrawnKeys.contains(keyId);
    }

    /**
     * Adds withdrawn keys. A withdrawal is never undone.
     *
     * @param keyIds public identifiers
     * @return whether one of them is new
     */
    public boolean addWithdrawnKeys(Collection<String> keyIds) {
        return withdrawnKeys.addAll(keyIds);
    }

    /**
     * Gets the keys withdrawn at this node or learned from peers.
     *
     * @return public identifiers
     */
    public List<String> getWithdrawnKeys() {
        return List.copyOf(withdrawnKeys);
    }

    /**
     * Gets the changes kept in memory.
     *
     * @return changes in ascending order of their versions
     */
    public List<SettingChange> getChanges() {
        synchronized (changes) {
            return List.copyOf(changes);
        }
    }

    /**
     * Notes the version of a peer, and asks for its settings if it is newer.
     *
     * @param address the peer
     * @param version the version in force there
     */
    public void onPeerVersion(InetSocketAddress address, long version) {
        if (version > 0 && version == getVersion()) {
            ready = true;
        }
        if (version <= getVersion()) {
            return;
        }
        network.connect(address)
                .thenCompose(connection -> connection
                        .request(new SettingsPullMessage(getVersion()))
                        .answer())
                .whenComplete((message, failure) -> onPush(message, failure));
    }

    /**
     * Answers a peer that asks for settings.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onPull(PeerConnection connection, Frame frame) {
        long after = ((SettingsPullMessage) frame.message()).afterVersion();
        List<SettingChange> newer = new ArrayList<>();
        for (SettingChange change : getChanges()) {
            if (change.version() > after) {
                newer.add(change);
            }
        }
        boolean isComplete = newer.isEmpty() || newer.get(0).version() == after + 1;
        SettingTree tree = getTree();
        connection.send(
                frame.id(),
                isComplete && !(newer.isEmpty() && tree.getVersion() > after)
                        ? new SettingsPushMessage(0, new TreeMap<>(), newer)
                        : new SettingsPushMessage(tree.getVersion(), new TreeMap<>(tree.getValues()), List.of()));
    }

    /**
     * Commits a change, which is checked against the newest settings first. Blocks.
     *
     * @param changeId chosen by the author, the same in every attempt
     * @param author the operator
     * @param baseVersion the version that the author has seen
     * @param subtree the path within which a later change by another author is a conflict
     * @param edits what to set and remove
     * @return the version of the change, or empty after a conflict
     * @throws SettingsException if the settings would not be valid
     * @throws PlatformException if the platform gives no answer; the change may have been accepted
     */
    public Optional<Long> propose(
            String changeId, String author, long baseVersion, String subtree, List<SettingEdit> edits)
            throws SettingsException, PlatformException {
        for (int i = 0; i < MAX_COMMIT_ATTEMPTS; i++) {
            readLog();
            Optional<Long> accepted = findAccepted(changeId);
            if (accepted.isPresent()) {
                return accepted;
            }
            if (isChangedSince(baseVersion, subtree)) {
                return Optional.empty();
            }
            SettingTree tree = getTree();
            SettingChange change = new SettingChange(tree.getVersion() + 1, changeId, author, clock.wallMs(), edits);
            FleetSettings.of(tree.apply(change));
            if (log.commit(change)) {
                apply(List.of(change));
                return Optional.of(change.version());
            }
        }
        throw new PlatformException("too many other changes at the same time");
    }

    private Optional<Long> findAccepted(String changeId) {
        for (SettingChange change : getChanges()) {
            if (change.changeId().equals(changeId)) {
                return Optional.of(change.version());
            }
        }
        return Optional.empty();
    }

    private boolean isChangedSince(long version, String subtree) {
        for (SettingChange change : getChanges()) {
            if (change.version() > version
                    && change.edits().stream().anyMatch(edit -> edit.path().isWithin(subtree))) {
                return true;
            }
        }
        return false;
    }

    private void poll() {
        try {
            readLog();
        } catch (PlatformException e) {
            if (platformReachable) {
                Logger.warn("platform-unreachable reason=\"{}\"", e.getMessage());
            }
            platformReachable = false;
        } catch (RuntimeException e) {
            Logger.error(e, "settings-poll-failed");
        }
    }

    private void readLog() throws PlatformException {
        List<SettingChange> newer = log.readAfter(getVersion());
        while (!newer.isEmpty()) {
            apply(newer);
            newer = log.readAfter(getVersion());
        }
        if (!platformReachable) {
            Logger.info("platform-reachable version={}", getVersion());
        }
        platformReachable = true;
        ready = true;
    }

    private void onPush(Message message, Throwable failure) {
        if (failure != null || !(message instanceof SettingsPushMessage push)) {
            return;
        }
        synchronized (changes) {
            if (push.treeVersion() > getVersion()) {
                changes.clear();
                state = toState(SettingTree.of(push.treeVersion(), push.tree()));
            }
        }
        apply(push.changes());
        ready = true;
    }

    private void apply(List<SettingChange> newer) {
        synchronized (changes) {
            SettingTree tree = getTree();
            for (SettingChange change : newer) {
                if (change.version() != tree.getVersion() + 1) {
                    continue;
                }
                tree = tree.apply(change);
                changes.add(change);
                Logger.info("settings-accepted version={} author={}", change.version(), change.author());
            }
            if (changes.size() > MAX_CHANGES_KEPT) {
                changes.subList(0, changes.size() - MAX_CHANGES_KEPT).clear();
            }
            if (tree.getVersion() > getVersion()) {
                state = toState(tree);
            }
        }
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
