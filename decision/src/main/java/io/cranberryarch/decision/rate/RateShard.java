package io.cranberryarch.decision.rate;

import com.dynatrace.hash4j.hashing.Hashing;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * A partition of the client accounts in one availability zone, whose tokens are granted by a single allocator.
 *
 * @param zone the zone
 * @param number the number of the shard, less than {@link #COUNT}
 */
public record RateShard(String zone, int number) {

    /** The number of shards in each zone. */
    public static final int COUNT = 16;

    private static final int MAX_CANDIDATES = 2;

    /**
     * Returns the shard of an account.
     *
     * @param zone the zone, not {@code null}
     * @param account the name of the client account, not {@code null}
     * @return the shard
     */
    public static RateShard of(String zone, String account) {
        return new RateShard(zone, (int) Long.remainderUnsigned(toHash(account), COUNT));
    }

    /**
     * Returns the name of the lease that the allocator of this shard holds.
     *
     * @return the name
     */
    public String toLeaseName() {
        return "rate/" + zone + "/" + number;
    }

    /**
     * Returns the members that contend for the lease of this shard.
     *
     * @param members all known members, not {@code null}
     * @return at most two members of the zone, in order of preference
     */
    public List<Member> toCandidates(Collection<Member> members) {
        String name = toLeaseName();
        return members.stream()
                .filter(member -> member.zone().equals(zone))
                .filter(member -> member.state() == MemberState.UP || member.state() == MemberState.STARTING)
                .sorted(Comparator.comparingLong((Member member) -> toHash(name + "/" + member.instance()))
                        .thenComparing(Member::instance))
                .limit(MAX_CANDIDATES)
                .toList();
    }

    private static long toHash(String text) {
        return Hashing.xxh3_64().hashCharsToLong(text);
    }
}
