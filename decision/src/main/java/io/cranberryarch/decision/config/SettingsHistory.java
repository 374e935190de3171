package io.cranberryarch.decision.config;

import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingTree;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The version of the settings in force at a node, the changes that led to it, and whether it is safe to serve by it.
 *
 * <p>Only greater versions are taken, wherever they come from. Not thread-safe.
 *
 * <pre>
 * history.apply(changes);
 * history.getTree().getVersion(); // never less than before
 * </pre>
 */
public final class SettingsHistory {

    private static final int MAX_CHANGES = 2_000;
    private static final int MAX_PUSH_CHANGES = 500;
    private static final int QUORUM = 3;

    private final List<SettingChange> changes = new ArrayList<>();
    private final Map<String, Long> heardVersions = new HashMap<>();
    private SettingTree tree = SettingTree.EMPTY;
    private boolean platformAnswered;
    private boolean platformFailed;
    private boolean ready;

    /**
     * Gets the tree in force.
     *
     * @return the tree
     */
    public SettingTree getTree() {
        return tree;
    }

    /**
     * Gets the changes kept.
     *
     * @return changes without a gap up to the version in force, in ascending order
     */
    public List<SettingChange> getChanges() {
        return List.copyOf(changes);
    }

    /**
     * Takes a whole version over if it is newer.
     *
     * @param newer the tree
     * @return whether it is in force now
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
     * @param newer changes in ascending order
     * @return the changes applied
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
     * Finds the changes after a version.
     *
     * @param version the version
     * @return all later changes, or empty if some are no longer kept
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
     * Chooses the changes for a peer.
     *
     * @param version the version of the peer
     * @return later changes, bounded in number, or empty if the peer needs the whole tree
     */
    public Optional<List<SettingChange>> toPush(long version) {
        return findAfter(version).filter(list -> list.size() <= MAX_PUSH_CHANGES);
    }

    /**
     * Notes a whole read of the platform's log, or its failure.
     *
     * @param isAnswered whether the platform answered
     */
    public void onPlatformRead(boolean isAnswered) {
        platformAnswered |= isAnswered;
        platformFailed |= !isAnswered;
    }

    /**
     * Notes the version of a peer.
     *
     * @param peer the name of the peer's instance
     * @param version the version in force there
     */
    public void onPeerVersion(String peer, long version) {
        if (!ready) {
            heardVersions.merge(peer, version, Math::max);
        }
    }

    /**
     * Checks whether the version in force is the highest that the platform, or while it is down the peers, know.
     *
     * @param others the number of other live members known
     * @return whether keyed routes may be served; stays so
     */
    public boolean isReady(int others) {
        if (ready) {
            return true;
        }
        long highest = 0;
        for (long version : heardVersions.values()) {
            highest = Math.max(highest, version);
        }
        boolean isQuorum = others > 0 && heardVersions.size() >= Math.min(QUORUM, others);
        boolean isHighest = tree.getVersion() > 0 && tree.getVersion() >= highest;
        boolean isByPlatform = platformAnswered && tree.getVersion() >= highest;
        boolean isByPeers = platformFailed && isQuorum && isHighest;
        ready = isByPlatform || isByPeers;
        if (ready) {
            heardVersions.clear();
        }
        return ready;
    }
}
