package io.cranberryarch.decision.config;

import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingTree;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the settings in force at a node and the changes that led to them, and decides whether the node may serve
 * requests under them.
 *
 * <p>Only greater versions are accepted, from any source. Not thread-safe.
 *
 * <pre>
 * history.apply(changes);
 * history.getTree().getVersion(); // never less than before
 * </pre>
 */
public final class SettingsHistory {

    private static final int MAX_CHANGES = 2_000;
    private static final int MAX_PUSH_CHANGES = 500;
    private static final int QUORUM_PEERS = 3;

    private final List<SettingChange> changes = new ArrayList<>();
    private final Map<String, Long> peerVersions = new HashMap<>();
    private SettingTree tree = SettingTree.EMPTY;
    private boolean platformAnswered;
    private boolean platformFailed;
    private boolean ready;

    /**
     * Returns the tree in force.
     *
     * @return the tree
     */
    public SettingTree getTree() {
        return tree;
    }

    /**
     * Returns the retained changes.
     *
     * @return changes without a gap up to the version in force, in ascending order
     */
    public List<SettingChange> getChanges() {
        return List.copyOf(changes);
    }

    /**
     * Replaces the tree by a newer version.
     *
     * @param newer the tree, not {@code null}
     * @return whether the tree was newer and is now in force
     */
    public boolean replace(SettingTree newer) {
        if (newer.getVersion() <= tree.getVersion()) {
            return false;
        }
        changes.clear();
        tree = newer;
        return true;
    }

    /**
     * Applies changes that follow the version in force; others are ignored.
     *
     * @param newer changes in ascending order, not {@code null}
     * @return the applied changes
     */
    public List<SettingChange> apply(List<SettingChange> newer) {
        List<SettingChange> applied = new ArrayList<>();
        for (SettingChange change : newer) {
            if (change.version() != tree.getVersion() + 1) {
                continue;
            }
            tree = tree.apply(change);
            applied.add(change);
        }
        changes.addAll(applied);
        if (changes.size() > MAX_CHANGES) {
            changes.subList(0, changes.size() - MAX_CHANGES).clear();
        }
        return applied;
    }

    /**
     * Returns the changes after a version.
     *
     * @param version the version
     * @return all later changes, or empty if some are no longer retained
     */
    public Optional<List<SettingChange>> findAfter(long version) {
        long oldest = tree.getVersion() - changes.size();
        if (version < oldest) {
            return Optional.empty();
        }
        int skipped = (int) Math.min(changes.size(), version - oldest);
        return Optional.of(List.copyOf(changes.subList(skipped, changes.size())));
    }

    /**
     * Selects the changes to send to a peer.
     *
     * @param version the version of the peer
     * @return all later changes, or empty if they are too many or no longer retained and the peer needs the whole tree
     */
    public Optional<List<SettingChange>> toPush(long version) {
        return findAfter(version).filter(list -> list.size() <= MAX_PUSH_CHANGES);
    }

    /**
     * Records a complete read of the platform's log, or its failure.
     *
     * @param isAnswered whether the read succeeded
     */
    public void onPlatformRead(boolean isAnswered) {
        platformAnswered |= isAnswered;
        platformFailed |= !isAnswered;
    }

    /**
     * Records the version in force at a peer.
     *
     * @param peer the name of the peer's instance, not {@code null}
     * @param version the version in force there
     */
    public void onPeerVersion(String peer, long version) {
        if (!ready) {
            peerVersions.merge(peer, version, Math::max);
        }
    }

    /**
     * Checks whether the version in force is the highest at the platform or, while that is unreachable, at the peers.
     *
     * @param others the number of other known live members
     * @return whether keyed routes may be served; remains {@code true} once it is
     */
    public boolean isReady(int others) {
        if (ready) {
            return true;
        }
        long highest = 0;
        for (long version : peerVersions.values()) {
            highest = Math.max(highest, version);
        }
        boolean isQuorum = others > 0 && peerVersions.size() >= Math.min(QUORUM_PEERS, others);
        boolean isHighestVersion = tree.getVersion() > 0 && tree.getVersion() >= highest;
        boolean isConfirmedByPlatform = platformAnswered && tree.getVersion() >= highest;
        boolean isConfirmedByPeers = platformFailed && isQuorum && isHighestVersion;
        ready = isConfirmedByPlatform || isConfirmedByPeers;
        if (ready) {
            peerVersions.clear();
        }
        return ready;
    }
}
