package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The table of members known to one node. Newer records replace older ones. Not thread-safe.
 *
 * <p>A digest over all live records shows whether two tables are equal; digests of buckets show where they differ.
 * Records of members that are gone are retained for a time, outside the digests, so that an outdated record does not
 * restore them.
 */
public final class MemberTable {

    /** The number of buckets into which records are partitioned for digests. */
    public static final int BUCKET_COUNT = 64;

    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> goneSinceMs = new HashMap<>();
    private final Map<String, List<Member>> serving = new HashMap<>();
    private final long[] digests = new long[BUCKET_COUNT];
    private long changeCount;

    /**
     * Adds or replaces a record if it is newer. The record of an unknown member that is gone is ignored.
     *
     * @param member the record, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @return whether it replaced or added a record
     */
    public boolean merge(Member member, long nowMs) {
        Member current = members.get(member.instance());
        if (current == null ? !member.state().isLive() : !member.isNewerThan(current)) {
            return false;
        }
        members.put(member.instance(), member);
        changeCount++;
        serving.clear();
        if (current != null) {
            toggleDigest(current);
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
     * Removes members that have been gone for a long time.
     *
     * @param beforeMs members gone before this time are removed, monotonic time in milliseconds
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
     * Returns the record of a member.
     *
     * @param instance the name of the instance, not {@code null}
     * @return the record, or empty if the member is unknown
     */
    public Optional<Member> find(String instance) {
        return Optional.ofNullable(members.get(instance));
    }

    /**
     * Returns the members that accept calls for a service.
     *
     * @param service the service, not {@code null}
     * @return the members in ascending order of their names, unmodifiable; the same list until a record changes
     */
    public List<Member> findServing(String service) {
        return serving.computeIfAbsent(service, this::collectServing);
    }

    private List<Member> collectServing(String service) {
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
     * Returns the members that are not gone.
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
     * Returns the members that are gone and not yet removed.
     *
     * @return the records in ascending order of their names
     */
    public List<Member> findGone() {
        return goneSinceMs.keySet().stream().sorted().map(members::get).toList();
    }

    /**
     * Returns all members, gone ones included.
     *
     * @return the records, unmodifiable
     */
    public Collection<Member> getAll() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the number of changes of the table.
     *
     * @return a number that increases with each change
     */
    public long getChangeCount() {
        return changeCount;
    }

    /**
     * Returns the digest of all live records.
     *
     * @return a digest that is equal for tables with the same live records
     */
    public long getDigest() {
        long digest = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            digest = 31 * digest + digests[i];
        }
        return digest;
    }

    /**
     * Returns the digests of the buckets.
     *
     * @return {@link #BUCKET_COUNT} digests in the order of the buckets
     */
    public List<Long> getBucketDigests() {
        List<Long> copy = new ArrayList<>(BUCKET_COUNT);
        for (long digest : digests) {
            copy.add(digest);
        }
        return copy;
    }

    /**
     * Returns the records of buckets whose digests differ from those of a peer, gone members included.
     *
     * @param peerDigests the peer's digests of its buckets, not {@code null}
     * @param firstBucket the bucket to start with
     * @param limit the maximum number of records to return
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
