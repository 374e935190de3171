package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The members known to one node. Newer records replace older ones. Not thread-safe.
 *
 * <p>A digest over all live records tells whether two tables hold the same; digests of buckets tell where they differ.
 * Records of members that are gone are kept for a while, outside the digests, so that no old record brings them back.
 */
public final class MemberTable {

    /** The number of buckets that the digests divide the records into. */
    public static final int BUCKET_COUNT = 64;

    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> goneSinceMs = new HashMap<>();
    private final Map<String, List<Member>> serving = new HashMap<>();
    private final long[] digests = new long[BUCKET_COUNT];
    private long changes;

    /**
     * Takes a record over if it is new. That an unknown member is gone is no news.
     *
     * @param member the record, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @return whether it replaced or added a record
     */
    public boolean merge(Member member, long nowMs) {
        Member known = members.get(member.instance());
        if (known == null ? !member.state().isLive() : !member.isNewerThan(known)) {
            return false;
        }
        members.put(member.instance(), member);
        changes++;
        serving.clear();
        if (known != null) {
            toggleDigest(known);
        }
        toggleDigest(member);
        if (member.state().isLive()) {
            goneSinceMs.remove(member.instance());
        } else {
            goneSinceMs.put(member.instance(), nowMs);
        }
        return true;
    }

    /**
     * Forgets members that have been gone for long.
     *
     * @param beforeMs members gone before this time are forgotten
     */
    public void expire(long beforeMs) {
        goneSinceMs.entrySet().removeIf(entry -> {
            boolean isOld = entry.getValue() < beforeMs;
            if (isOld) {
                members.remove(entry.getKey());
            }
            return isOld;
        });
    }

    /**
     * Finds a member.
     *
     * @param instance the name of the instance
     * @return the record, or empty
     */
    public Optional<Member> find(String instance) {
        return Optional.ofNullable(members.get(instance));
    }

    /**
     * Lists the members that take calls for a service.
     *
     * @param service the service
     * @return the members in ascending order of their names, unmodifiable; the same list until a record changes
     */
    public List<Member> findServing(String service) {
        return serving.computeIfAbsent(service, this::listServing);
    }

    private List<Member> listServing(String service) {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state().isServing() && member.service().equals(service)) {
                found.add(member);
            }
        }
        found.sort(Comparator.comparing(Member::instance));
        return List.copyOf(found);
    }

    /**
     * Lists the members that are not gone.
     *
     * @return the records in no particular order
     */
    public List<Member> findLive() {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state().isLive()) {
                found.add(member);
            }
        }
        return found;
    }

    /**
     * Lists the members that are gone and not yet forgotten.
     *
     * @return the records in ascending order of their names
     */
    public List<Member> findGone() {
        return goneSinceMs.keySet().stream().sorted().map(members::get).toList();
    }

    /**
     * Lists all members.
     *
     * @return the records, unmodifiable
     */
    public Collection<Member> getAll() {
        return List.copyOf(members.values());
    }

    /**
     * Counts the changes of the table.
     *
     * @return a number that grows with each change
     */
    public long getChangeCount() {
        return changes;
    }

    /**
     * Gets the digest of all live records.
     *
     * @return the same number for tables with the same live records
     */
    public long getDigest() {
        long digest = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            digest = 31 * digest + digests[i];
        }
        return digest;
    }

    /**
     * Gets the digests of the buckets.
     *
     * @return {@link #BUCKET_COUNT} numbers
     */
    public List<Long> getBucketDigests() {
        List<Long> copy = new ArrayList<>(BUCKET_COUNT);
        for (long digest : digests) {
            copy.add(digest);
        }
        return copy;
    }

    /**
     * Lists records of buckets that differ from a peer's, gone members included.
     *
     * @param peerDigests the peer's digests of its buckets
     * @param firstBucket the bucket to start with
     * @param limit the most records to return
     * @return the records
     */
    public List<Member> findDiffering(List<Long> peerDigests, int firstBucket, int limit) {
        List<List<Member>> buckets = new ArrayList<>();
        for (int i = 0; i < BUCKET_COUNT; i++) {
            buckets.add(new ArrayList<>());
        }
        for (Member member : members.values()) {
            buckets.get(toBucket(member.instance())).add(member);
        }
        List<Member> found = new ArrayList<>();
        for (int i = 0; i < BUCKET_COUNT && found.size() < limit; i++) {
            int bucket = Math.floorMod(firstBucket + i, BUCKET_COUNT);
            if (bucket >= peerDigests.size() || peerDigests.get(bucket) != digests[bucket]) {
                found.addAll(buckets.get(bucket));
            }
        }
        return found.size() > limit ? found.subList(0, limit) : found;
    }

    private void toggleDigest(Member member) {
        if (member.state().isLive()) {
            digests[toBucket(member.instance())] ^= MemberHash.toDigest(member);
        }
    }

    private static int toBucket(String instance) {
        return (int) Long.remainderUnsigned(MemberHash.toRank("bucket", instance), BUCKET_COUNT);
    }
}
