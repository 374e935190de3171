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
 * The log of accepted settings in the platform's table.
 *
 * <p>One row holds the version of the newest change, and one row holds each change. Every commit requires the version
 * that its author has seen, so that of two racing authors exactly one succeeds. A commit whose answer was lost is
 * recognised by its change identifier. A key that is stored as withdrawn cannot be set any more.
 */
public final class SettingsLog {

    private static final String HEAD = "settings/head";
    private static final String LOG = "settings/log/";
    private static final int PAGE = 500;

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
     * @throws PlatformException if the store gives no answer
     */
    public long readVersion() throws PlatformException {
        return table.get(HEAD).map(row -> Long.parseLong(row.value())).orElse(0L);
    }

    /**
     * Reads changes in order.
     *
     * @param afterVersion the version after which to start
     * @return all later changes that fit one page, in ascending order
     * @throws PlatformException if the store gives no answer or a row cannot be read
     */
    public List<SettingChange> readAfter(long afterVersion) throws PlatformException {
        List<SettingChange> changes = new ArrayList<>();
        for (Row row : table.list(LOG, toKey(afterVersion), PAGE)) {
            changes.add(toChange(row.value()));
        }
        return changes;
    }

    /**
     * Commits a change if no other took its version.
     *
     * @param change the change, whose version is one more than the newest known
     * @return whether this change holds its version now, also when it did so before
     * @throws PlatformException if the store gives no answer; the change may have been accepted
     */
    public boolean commit(SettingChange change) throws PlatformException {
        long base = change.version() - 1;
        Optional<Row> head = table.get(HEAD);
        long version = head.map(row -> Long.parseLong(row.value())).orElse(0L);
        if (version != base) {
            return isAccepted(change);
        }
        Transaction transaction = new Transaction()
                .requireVersion(HEAD, head.map(Row::version).orElse(Transaction.ABSENT))
                .requireVersion(toKey(change.version()), Transaction.ABSENT)
                .put(HEAD, String.valueOf(change.version()))
                .put(toKey(change.version()), toJson(change));
        for (SettingEdit edit : change.edits()) {
            Optional<String> keyId = edit.value().isPresent() ? edit.path().getKeyId() : Optional.empty();
            keyId.ifPresent(id -> transaction.requireVersion(WithdrawalStore.toRow(id), Transaction.ABSENT));
        }
        return table.commit(transaction) || isAccepted(change);
    }

    private boolean isAccepted(SettingChange change) throws PlatformException {
        Optional<Row> row = table.get(toKey(change.version()));
        return row.isPresent() && toChange(row.get().value()).changeId().equals(change.changeId());
    }

    private static String toKey(long version) {
        return LOG + String.format("%012d", version);
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
            throw new PlatformException("the change cannot be written", e);
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
            throw new PlatformException("a change in the log cannot be read", e);
        }
    }

    /** A change as JSON. */
    private record ChangeBody(long version, String changeId, String author, long atMs, List<EditBody> edits) {}

    /** An edit as JSON; no value removes the path. */
    private record EditBody(String path, String value) {}
}
