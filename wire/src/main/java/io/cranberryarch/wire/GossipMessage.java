package io.cranberryarch.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells a peer about members, withdrawn keys and the version of the settings.
 *
 * @param isAnswer whether this answers a message of the receiver
 * @param settingsVersion the version of the settings in force at the sender
 * @param members members known to the sender
 * @param withdrawnKeys identifiers of keys withdrawn lately
 */
public record GossipMessage(
        boolean isAnswer, long settingsVersion, List<MemberRecord> members, List<String> withdrawnKeys)
        implements Message {

    /** Copies the lists. */
    public GossipMessage {
        members = List.copyOf(members);
        withdrawnKeys = List.copyOf(withdrawnKeys);
    }

    static GossipMessage readRequest(MessageUnpacker in) throws IOException {
        return read(in, false);
    }

    static GossipMessage readAnswer(MessageUnpacker in) throws IOException {
        return read(in, true);
    }

    private static GossipMessage read(MessageUnpacker in, boolean isAnswer) throws IOException {
        long version = in.unpackLong();
        int count = Fields.readCount(in);
        List<MemberRecord> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(MemberRecord.read(in));
        }
        int keyCount = Fields.readCount(in);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < keyCount; i++) {
            keys.add(in.unpackString());
        }
        return new GossipMessage(isAnswer, version, members, keys);
    }

    @Override
    public MessageType getType() {
        return isAnswer ? MessageType.GOSSIP_ANSWER : MessageType.GOSSIP;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packLong(settingsVersion);
        out.packArrayHeader(members.size());
        for (MemberRecord member : members) {
            member.write(out);
        }
        out.packArrayHeader(withdrawnKeys.size());
        for (String key : withdrawnKeys) {
            out.packString(key);
        }
    }
}
