package io.cranberryarch.node.config;

import io.cranberryarch.base.Clock;
import io.cranberryarch.settings.FleetSettings;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingLimits;
import io.cranberryarch.settings.SettingTree;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.SettingsLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Validates changes requested by operators against the latest settings, and commits them to the log. Thread-safe. */
final class SettingsCommitter {

    private static final int MAX_ATTEMPTS = 20;

    private final SettingsService settings;
    private final SettingsReader reader;
    private final SettingsLog log;
    private final WithdrawalService withdrawals;
    private final Clock clock;

    SettingsCommitter(
            SettingsService settings,
            SettingsReader reader,
            SettingsLog log,
            WithdrawalService withdrawals,
            Clock clock) {
        this.settings = settings;
        this.reader = reader;
        this.log = log;
        this.withdrawals = withdrawals;
        this.clock = clock;
    }

    /** Commits a change as {@link SettingsService#propose} describes. Blocks. */
    long propose(String changeId, String author, long baseVersion, String subtree, List<SettingEdit> edits)
            throws SettingsConflictException, SettingsException, PlatformException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            reader.readLog();
            List<SettingChange> later = readAfter(baseVersion);
            Optional<Long> accepted = findAcceptedVersion(later, changeId);
            if (accepted.isPresent()) {
                return accepted.get();
            }
            checkConflict(later, baseVersion, subtree);
            SettingTree tree = settings.getTree();
            SettingLimits.check(tree, subtree, edits);
            checkWithdrawnKeys(edits);
            SettingChange change = new SettingChange(tree.getVersion() + 1, changeId, author, clock.wallMs(), edits);
            FleetSettings.of(tree.apply(change));
            if (log.commit(change)) {
                settings.apply(List.of(change));
                return change.version();
            }
            withdrawals.readAll();
        }
        throw new PlatformException("too many concurrent changes");
    }

    private List<SettingChange> readAfter(long version) throws PlatformException {
        Optional<List<SettingChange>> cached = settings.findChangesAfter(version);
        if (cached.isPresent()) {
            return cached.get();
        }
        List<SettingChange> later = new ArrayList<>();
        List<SettingChange> page = log.readAfter(version);
        while (!page.isEmpty()) {
            later.addAll(page);
            page = log.readAfter(page.get(page.size() - 1).version());
        }
        return later;
    }

    private static Optional<Long> findAcceptedVersion(List<SettingChange> later, String changeId) {
        return later.stream()
                .filter(change -> change.changeId().equals(changeId))
                .map(SettingChange::version)
                .findFirst();
    }

    private static void checkConflict(List<SettingChange> later, long baseVersion, String subtree)
            throws SettingsConflictException {
        for (int i = later.size() - 1; i >= 0; i--) {
            SettingChange change = later.get(i);
            if (change.edits().stream().anyMatch(edit -> edit.path().isWithin(subtree))) {
                throw new SettingsConflictException(subtree, baseVersion, change);
            }
        }
    }

    private void checkWithdrawnKeys(List<SettingEdit> edits) throws SettingsException {
        for (SettingEdit edit : edits) {
            Optional<String> keyId = edit.path().getKeyId();
            if (edit.value().isPresent() && keyId.isPresent() && withdrawals.contains(keyId.get())) {
                throw new SettingsException(List.of(edit.path() + ": this key was withdrawn; issue a new one"));
            }
        }
    }
}
