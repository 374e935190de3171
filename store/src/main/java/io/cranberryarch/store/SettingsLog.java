package io.cranberryarch.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.settings.SettingsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The log of accepted settings changes in the platform's table.
 *
 * <p>One row holds the version of the newest change, and each change is stored in a row of its own. Every commit
 * requires the version on which its change is based, so that exactly one of two concurrent commits succeeds. A commit
 * whose answer was lost is identified by its change identifier. A key that is stored as withdrawn cannot be set again.
 */
public final class SettingsLog {

    private static final String HEAD_KEY = "settings/head";
    private static final String LOG_PREFIX = "settings/log/";
    private static final int MAX_PAGE_ROWS = 500;

    private final TableStore table;

    /**
     * Creates a log.
     *
     * @param table the table, not {@code null}
     */
    public SettingsLog(TableStore table) {
        this.table = table;
    }

    /**
     * Reads the version of the newest change.
     *
     * @return the version, 0 if there is none
     * @throws PlatformException if the store does not answer
     */
    public long readVersion() throws PlatformException {
        return table.get(HEAD_KEY).map(row -> Long.parseLong(row.value())).orElse(0L);
    }

    /**
     * Reads one page of changes.
     *
     * @param afterVersion the version after which the page starts
     * @return the next changes up to the page size, in ascending order of version
     * @throws PlatformException if the store does not answer or a row cannot be parsed
     */
    public List<SettingChange> readAfter(long afterVersion) throws PlatformException {
        List<SettingChange> changes = new ArrayList<>();
        for (Row row : table.list(LOG_PREFIX, toRowKey(afterVersion), MAX_PAGE_ROWS)) {
            changes.add(toChange(row.value()));
        }
        return changes;
    }

    /**
     * Commits a change if its version is not used by another change.
     *
     * @param change the change, whose version is one greater than the newest known version
     * @return whether the log holds this change under its version, also if an earlier commit stored it
     * @throws PlatformException if the store does not answer; the change may have been accepted
     */
    public boolean commit(SettingChange change) throws PlatformException {
        long base = change.version() - 1;
        Optional<Row> head = table.get(HEAD_KEY);
        long version = head.map(row -> Long.parseLong(row.value())).orElse(0L);
        if (version != base) {
            return isAccepted(change);
        }
        Transaction transaction = new Transaction()
                .requireVersion(HEAD_KEY, head.map(Row::version).orElse(Transaction.ABSENT))
                .requireVersion(toRowKey(change.version()), Transaction.ABSENT)
                .put(HEAD_KEY, String.valueOf(change.version()))
                .put(toRowKey(change.version()), toJson(change));
        for (SettingEdit edit : change.edits()) {
            Optional<String> keyId = edit.value().isPresent() ? edit.path().getKeyId() : Optional.empty();
            keyId.ifPresent(id -> transaction.requireVersion(WithdrawalStore.toRowKey(id), Transaction.ABSENT));
        }
        return table.commit(transaction) || isAccepted(change);
    }

    private boolean isAccepted(SettingChange change) throws PlatformException {
        Optional<Row> row = table.get(toRowKey(change.version()));
        return row.isPresent() && toChange(row.get().value()).changeId().equals(change.changeId());
    }

    private static String toRowKey(long version) {
        return LOG_PREFIX + String.format("%012d", version);
    }

    private static String toJson(SettingChange change) throws PlatformException {
        List<EditBody> edits = new ArrayList<>();
        for (SettingEdit edit : change.edits()) {
            edits.add(new EditBody(edit.path().toString(), edit.value().orElse(null)));
        }
        try {
            return PlatformJson.MAPPER.writeValueAsString(
                    new ChangeBody(change.version(), change.changeId(), change.author(), change.atMs(), edits));
        } catch (JsonProcessingException e) {
            throw new PlatformException("failed to serialize a settings change", e);
        }
    }

    private static SettingChange toChange(String json) throws PlatformException {
        try {
            ChangeBody body = PlatformJson.MAPPER.readValue(json, ChangeBody.class);
            List<SettingEdit> edits = new ArrayList<>();
            for (EditBody edit : body.edits()) {
                edits.add(new SettingEdit(SettingPath.of(edit.path()), Optional.ofNullable(edit.value())));
            }
            return new SettingChange(body.version(), body.changeId(), body.author(), body.atMs(), edits);
        } catch (JsonProcessingException | SettingsException e) {
            throw new PlatformException("failed to parse a change in the settings log", e);
        }
    }

    /** The JSON body of a change. */
    private record ChangeBody(long version, String changeId, String author, long atMs, List<EditBody> edits) {}

    /** The JSON body of an edit. A {@code null} value removes the path. */
    private record EditBody(String path, String value) {}
}
