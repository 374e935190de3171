package io.cranberryarch.wire;

import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Brings settings to a peer: changes in order, after a whole tree if the peer is too far behind.
 *
 * @param treeVersion the version of the whole tree, 0 if only changes follow
 * @param tree values by path, empty if only changes follow
 * @param changes changes in ascending order of their versions
 */
public record SettingsPushMessage(long treeVersion, SortedMap<String, String> tree, List<SettingChange> changes)
        implements Message {

    /** Copies the changes. */
    public SettingsPushMessage {
        changes = List.copyOf(changes);
    }

    static SettingsPushMessage read(MessageUnpacker in) throws IOException {
        long version = in.unpackLong();
        int size = Fields.readCount(in);
        SortedMap<String, String> tree = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            tree.put(in.unpackString(), in.unpackString());
        }
        int count = Fields.readCount(in);
        List<SettingChange> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(readChange(in));
        }
        return new SettingsPushMessage(version, tree, changes);
    }

    private static SettingChange readChange(MessageUnpacker in) throws IOException {
        long version = in.unpackLong();
        String changeId = in.unpackString();
        String author = in.unpackString();
        long atMs = in.unpackLong();
        int count = Fields.readCount(in);
        List<SettingEdit> edits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try {
                edits.add(new SettingEdit(SettingPath.of(in.unpackString()), Fields.readOptional(in)));
            } catch (SettingsException e) {
                throw new MalformedFrameException(e.getMessage(), e);
            }
        }
        return new SettingChange(version, changeId, author, atMs, edits);
    }

    @Override
    public MessageType getType() {
        return MessageType.SETTINGS_PUSH;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packLong(treeVersion);
        out.packArrayHeader(tree.size());
        for (var entry : tree.entrySet()) {
            out.packString(entry.getKey());
            out.packString(entry.getValue());
        }
        out.packArrayHeader(changes.size());
        for (SettingChange change : changes) {
            writeChange(out, change);
        }
    }

    private static void writeChange(MessagePacker out, SettingChange change) throws IOException {
        out.packLong(change.version());
        out.packString(change.changeId());
        out.packString(change.author());
        out.packLong(change.atMs());
        out.packArrayHeader(change.edits().size());
        for (SettingEdit edit : change.edits()) {
            out.packString(edit.path().toString());
            Fields.writeOptional(out, edit.value());
        }
    }
}
