package io.cranberryarch.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reports changed member records, withdrawn keys and the settings version to a peer.
 *
 * @param isAnswer whether this answers a gossip message of the receiver
 * @param settingsVersion the version of the settings in force at the sender
 * @param memberDigest the digest of all live member records of the sender
 * @param bucketDigests the digests of the buckets of these records, empty unless the digests differed
 * @param members changed records, and records of buckets whose digests differ
 * @param withdrawnDigest the digest of all withdrawn keys stored at the sender
 * @param withdrawnKeys the identifiers of recently withdrawn keys, or of all withdrawn keys if the digests differed
 */
public record GossipMessage(
        boolean isAnswer,
        long settingsVersion,
        long memberDigest,
        List<Long> bucketDigests,
        List<MemberRecord> members,
        long withdrawnDigest,
        List<String> withdrawnKeys)
        implements Message {

    /** Copies the lists. */
    public GossipMessage {
        bucketDigests = List.copyOf(bucketDigests);
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
        long digest = in.unpackLong();
        int bucketCount = FieldCodec.readCount(in);
        List<Long> buckets = new ArrayList<>();
        for (int i = 0; i < bucketCount; i++) {
            buckets.add(in.unpackLong());
        }
        int count = FieldCodec.readCount(in);
        List<MemberRecord> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(MemberRecord.read(in));
        }
        long withdrawnDigest = in.unpackLong();
        int keyCount = FieldCodec.readCount(in);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < keyCount; i++) {
            keys.add(in.unpackString());
        }
        return new GossipMessage(isAnswer, version, digest, buckets, members, withdrawnDigest, keys);
    }

    @Override
    public MessageType getType() {
        return isAnswer ? MessageType.GOSSIP_ANSWER : MessageType.GOSSIP;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packLong(settingsVersion);
        out.packLong(memberDigest);
        out.packArrayHeader(bucketDigests.size());
        for (long digest : bucketDigests) {
            out.packLong(digest);
        }
        out.packArrayHeader(members.size());
        for (MemberRecord member : members) {
            member.write(out);
        }
        out.packLong(withdrawnDigest);
        out.packArrayHeader(withdrawnKeys.size());
        for (String key : withdrawnKeys) {
            out.packString(key);
        }
    }
}
