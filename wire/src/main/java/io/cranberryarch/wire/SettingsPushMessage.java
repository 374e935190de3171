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
 * Transfers settings to a peer: changes in order, preceded by a complete tree if the peer is too far behind.
 *
 * @param treeVersion the version of the complete tree, 0 if the message holds only changes
 * @param tree the values of the tree by path, empty if the message holds only changes
 * @param changes the changes in ascending order of version, copied
 */
public record SettingsPushMessage(long treeVersion, SortedMap<String, String> tree, List<SettingChange> changes)
        implements Message {

    /** Copies the changes. */
    public SettingsPushMessage {
        changes = List.copyOf(changes);
    }

    static SettingsPushMessage read(MessageUnpacker in) throws IOException {
        long version = in.unpackLong();
        int size = FieldCodec.readCount(in);
        SortedMap<String, String> tree = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            tree.put(in.unpackString(), in.unpackString());
        }
        int count = FieldCodec.readCount(in);
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
        int count = FieldCodec.readCount(in);
        List<SettingEdit> edits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try {
                edits.add(new SettingEdit(SettingPath.of(in.unpackString()), FieldCodec.readOptional(in)));
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
            FieldCodec.writeOptional(out, edit.value());
        }
    }
}
