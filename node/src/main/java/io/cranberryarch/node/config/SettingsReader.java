package io.cranberryarch.node.config;

import io.cranberryarch.base.Clock;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingTree;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.SettingsLog;
import io.cranberryarch.store.SettingsSnapshots;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * Reads settings and withdrawn keys from the platform, frequently on the delegates of a zone and rarely on other nodes,
 * and writes snapshots. Polls must not run concurrently; the other methods are thread-safe.
 */
final class SettingsReader {

    private static final long FULL_POLL_INTERVAL_MS = 30_000;
    private static final long RETRY_POLL_INTERVAL_MS = 1_500;
    private static final int CHANGES_PER_SNAPSHOT = 500;

    private final SettingsService settings;
    private final SettingsLog log;
    private final SettingsSnapshots snapshots;
    private final WithdrawalService withdrawals;
    private final Clock clock;
    private volatile boolean platformReachable;
    private volatile boolean delegate;
    private long nextFullPollMs;
    private long snapshotVersion;

    SettingsReader(
            SettingsService settings,
            SettingsLog log,
            SettingsSnapshots snapshots,
            WithdrawalService withdrawals,
            Clock clock) {
        this.settings = settings;
        this.log = log;
        this.snapshots = snapshots;
        this.withdrawals = withdrawals;
        this.clock = clock;
    }

    void setDelegate(boolean isDelegate) {
        delegate = isDelegate;
    }

    boolean isPlatformReachable() {
        return platformReachable;
    }

    /** Reads the platform if a read is due: at every poll on a delegate, rarely on other nodes. Blocks. */
    void poll() {
        long nowMs = clock.monotonicMs();
        try {
            boolean isFull = nowMs >= nextFullPollMs;
            if (!isFull && !delegate) {
                withdrawals.storeNew();
                return;
            }
            if (isFull && settings.getVersion() == 0) {
                snapshots.read().ifPresent(settings::replace);
            }
            if (isFull && withdrawals.readAll()) {
                settings.onWithdrawn();
            }
            readLog();
            withdrawals.storeNew();
            writeSnapshot();
            if (isFull) {
                nextFullPollMs = nowMs + addJitter(FULL_POLL_INTERVAL_MS);
            }
            recordPlatformContact(true);
        } catch (PlatformException e) {
            if (platformReachable) {
                Logger.warn("platform-unreachable reason=\"{}\"", e.getMessage());
            }
            recordPlatformContact(false);
            nextFullPollMs = nowMs + addJitter(settings.isReady() ? FULL_POLL_INTERVAL_MS : RETRY_POLL_INTERVAL_MS);
        } catch (RuntimeException e) {
            Logger.error(e, "settings-poll-failed");
        }
    }

    private static long addJitter(long intervalMs) {
        return intervalMs + ThreadLocalRandom.current().nextLong(intervalMs);
    }

    private void recordPlatformContact(boolean isReachable) {
        if (isReachable && !platformReachable) {
            Logger.info("platform-reachable version={}", settings.getVersion());
        }
        platformReachable = isReachable;
        settings.onPlatformContact(isReachable);
    }

    /** Applies the changes of the log that are newer than the version in effect. Blocks. */
    void readLog() throws PlatformException {
        List<SettingChange> newer = log.readAfter(settings.getVersion());
        while (!newer.isEmpty()) {
            settings.apply(newer);
            newer = log.readAfter(settings.getVersion());
        }
    }

    private void writeSnapshot() throws PlatformException {
        SettingTree tree = settings.getTree();
        if (!delegate || tree.getVersion() - snapshotVersion < CHANGES_PER_SNAPSHOT) {
            return;
        }
        long storedVersion = snapshots.read().map(SettingTree::getVersion).orElse(0L);
        if (tree.getVersion() - storedVersion >= CHANGES_PER_SNAPSHOT) {
            snapshots.write(tree);
            Logger.info("settings-snapshot-written version={}", tree.getVersion());
            storedVersion = tree.getVersion();
        }
        snapshotVersion = storedVersion;
    }
}
