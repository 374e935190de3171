package io.cranberryarch.decision.membership;

import java.util.List;

/**
 * What a node tells a peer about members: recent changes, and digests that show what else differs.
 *
 * @param digest the digest of all live records of the sender
 * @param bucketDigests the digests of the sender's buckets, empty unless the peer's digest differed
 * @param members changed records, and records of differing buckets
 */
public record MemberDelta(long digest, List<Long> bucketDigests, List<Member> members) {

    /** Copies the lists. */
    public MemberDelta {
        bucketDigests = List.copyOf(bucketDigests);
        members = List.copyOf(members);
    }
}
