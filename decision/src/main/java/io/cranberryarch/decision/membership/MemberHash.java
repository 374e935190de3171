package io.cranberryarch.decision.membership;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes that all nodes compute alike. */
final class MemberHash {

    private MemberHash() {}

    /** Orders instances within a scope: a rendezvous hash. */
    static long toRank(String scope, String instance) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(scope)
                .putString(instance)
                .getAsLong();
    }

    /** Identifies a record in digests. */
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
