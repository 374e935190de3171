package io.cranberryarch.node.member;

import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberDelta;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.wire.GossipMessage;
import io.cranberryarch.wire.MemberRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts member records between the decision types and wire messages. */
final class MemberMessages {

    private static final MemberState[] STATES = MemberState.values();

    private MemberMessages() {}

    static MemberRecord toRecord(Member member) {
        return new MemberRecord(
                member.instance(),
                member.incarnation(),
                member.sequence(),
                member.state().ordinal(),
                member.zone(),
                member.service(),
                member.host(),
                member.peerPort(),
                member.slots());
    }

    static List<MemberRecord> toRecords(MemberDelta delta) {
        return delta.members().stream().map(MemberMessages::toRecord).toList();
    }

    /** Converts a record. Returns empty if its state is unknown to this version. */
    static Optional<Member> toMember(MemberRecord record) {
        if (record.state() < 0 || record.state() >= STATES.length) {
            return Optional.empty();
        }
        return Optional.of(new Member(
                record.instance(),
                record.incarnation(),
                record.sequence(),
                STATES[record.state()],
                record.zone(),
                record.service(),
                record.host(),
                record.peerPort(),
                record.slots()));
    }

    static MemberDelta toDelta(GossipMessage gossip) {
        List<Member> members = new ArrayList<>();
        for (MemberRecord record : gossip.members()) {
            toMember(record).ifPresent(members::add);
        }
        return new MemberDelta(gossip.memberDigest(), gossip.bucketDigests(), members);
    }
}
