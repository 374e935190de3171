package io.cranberryarch.decision.membership;

import java.util.List;

/**
 * The member records that a node sends to a peer: recent changes, and digests that identify other differences.
 *
 * @param digest the digest of all live records of the sender
 * @param bucketDigests the digests of the sender's buckets, empty unless the digest of the peer differed
 * @param members changed records, and records of buckets whose digests differ
 */
public record MemberDelta(long digest, List<Long> bucketDigests, List<Member> members) {

    /** Copies the lists. */
    public MemberDelta {
        bucketDigests = List.copyOf(bucketDigests);
        members = List.copyOf(members);
    }
}
