package io.cranberryarch.decision.membership;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hash functions with the same results at all nodes. */
final class MemberHash {

    private MemberHash() {}

    /** Computes the rendezvous hash that orders instances within a scope. */
    static long toRank(String scope, String instance) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(scope)
                .putString(instance)
                .getAsLong();
    }

    /** Computes the hash of a record for digests. */
    static long toDigest(Member member) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(member.instance())
                .putLong(member.incarnation())
                .putLong(member.sequence())
                .putInt(member.state().ordinal())
                .getAsLong();
    }
}
