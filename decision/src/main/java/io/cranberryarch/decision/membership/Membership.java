package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whom a node exchanges member records with, and when a member is taken for gone. Not thread-safe.
 *
 * <p>In each round a node probes one neighbour. A neighbour that does not answer is probed through others, then
 * suspected, and taken for gone unless it contradicts within the suspicion time. Only members of the same zone judge
 * each other, so that a zone that is cut off is not taken for gone.
 *
 * <pre>
 * for (Probe probe : membership.onRound(nowMs, randomBits)) {
 *     send(probe); // then onAnswer or onFailure
 * }
 * </pre>
 */
public final class Membership {

    /** The time between two rounds, in milliseconds. */
    public static final long ROUND_INTERVAL_MS = 500;
    /** The time that a suspected member has to contradict, in milliseconds. */
    public static final long SUSPICION_TIMEOUT_MS = 3_000;
    /** The time that the record of a member that is gone is kept, in milliseconds. */
    public static final long GONE_RETENTION_MS = 6 * 3_600_000;

    private static final int MAX_SYNC_RECORDS = 200;
    private static final int RECONNECT_ROUNDS = 10;

    private final MemberTable table = new MemberTable();
    private final MemberUpdateQueue updates = new MemberUpdateQueue();
    private final FailureDetector detector;
    private final Map<String, Integer> failuresByZone = new HashMap<>();
    private Member self;
    private boolean replaced;
    private boolean changed;
    private Overlay overlay;
    private long overlayChanges = -1;
    private int round;

    /**
     * Creates the state of a node that knows nobody else.
     *
     * @param self the node's own record, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public Membership(Member self, long nowMs) {
        this.self = self;
        this.detector = new FailureDetector(table, nowMs);
        table.merge(self, nowMs);
    }

    /**
     * Gets this node's own record.
     *
     * @return the record
     */
    public Member getSelf() {
        return self;
    }

    /**
     * Gets the members known.
     *
     * @return the table, not to be changed
     */
    public MemberTable getTable() {
        return table;
    }

    /**
     * Checks whether a newer process of the same instance is known.
     *
     * @return whether this process must take no calls any more
     */
    public boolean isReplaced() {
        return replaced;
    }

    /**
     * Checks whether this node knows no other live member.
     *
     * @return whether it has to ask its seeds
     */
    public boolean hasNoPeers() {
        return table.findLive().size() <= 1;
    }

    /**
     * Checks whether this node links its zone to the others and to the platform.
     *
     * @return whether it is one of the delegates of its zone
     */
    public boolean isDelegate() {
        return getOverlay().isDelegate();
    }

    /**
     * Changes this node's own record.
     *
     * @param next the record with a greater sequence number
     * @param nowMs monotonic time in milliseconds
     */
    public void setSelf(Member next, long nowMs) {
        self = next;
        if (!replaced) {
            mergeOther(next, nowMs);
        }
    }

    /**
     * Tells whether records have changed since the last call.
     *
     * @return whether there is something to pass on at once
     */
    public boolean getAndClearChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /**
     * Begins a round.
     *
     * @param nowMs monotonic time in milliseconds
     * @param randomBits random bits
     * @return the probes of this round
     */
    public List<Probe> onRound(long nowMs, long randomBits) {
        for (Member gone : detector.findGone(self.zone(), nowMs)) {
            mergeOther(gone, nowMs);
        }
        table.expire(nowMs - GONE_RETENTION_MS);
        List<Member> targets = new ArrayList<>();
        addOne(targets, getOverlay().getNeighbours());
        addOne(targets, getOverlay().findRemotePeers(failuresByZone));
        List<Member> lost = table.findGone();
        if (round % RECONNECT_ROUNDS == 0 && !lost.isEmpty()) {
            targets.add(lost.get((int) Long.remainderUnsigned(randomBits, lost.size())));
        }
        round++;
        return toProbes(targets, true);
    }

    /**
     * Passes news on at once.
     *
     * @return probes of all peers of this node
     */
    public List<Probe> toBroadcast() {
        List<Member> targets = new ArrayList<>(getOverlay().getNeighbours());
        targets.addAll(getOverlay().findRemotePeers(failuresByZone));
        return toProbes(targets, false);
    }

    /**
     * Creates the first message to a peer of which only the address is known.
     *
     * @return what to tell it
     */
    public MemberDelta toJoinMessage() {
        return toDelta(List.of(self), false);
    }

    /**
     * Handles a message of a peer.
     *
     * @param delta the message
     * @param nowMs monotonic time in milliseconds
     * @return the answer
     */
    public MemberDelta onDelta(MemberDelta delta, long nowMs) {
        mergeAll(delta.members(), nowMs);
        if (delta.bucketDigests().isEmpty()) {
            return toDelta(List.of(), delta.digest() != table.getDigest());
        }
        return toDelta(findDiffering(delta), true);
    }

    /**
     * Handles the answer to a message of this node.
     *
     * @param peer the name of the peer's instance
     * @param delta the answer
     * @param nowMs monotonic time in milliseconds
     * @return what to tell the peer next, at once, or empty
     */
    public Optional<MemberDelta> onAnswer(String peer, MemberDelta delta, long nowMs) {
        detector.onAnswer(peer, nowMs);
        table.find(peer).ifPresent(member -> failuresByZone.remove(member.zone()));
        boolean isNews = mergeAll(delta.members(), nowMs);
        if (delta.digest() == table.getDigest() || delta.bucketDigests().isEmpty()) {
            return Optional.empty();
        }
        List<Member> differing = findDiffering(delta);
        return isNews || delta.members().isEmpty() ? Optional.of(toDelta(differing, true)) : Optional.empty();
    }

    /**
     * Handles a probe without an answer.
     *
     * @param target the member
     * @param nowMs monotonic time in milliseconds
     * @param randomBits random bits
     * @return probes through other members
     */
    public List<IndirectProbe> onFailure(Member target, long nowMs, long randomBits) {
        Optional<Member> known = table.find(target.instance());
        if (known.isEmpty() || !known.get().state().isLive() || known.get().incarnation() != target.incarnation()) {
            return List.of();
        }
        if (!target.zone().equals(self.zone())) {
            failuresByZone.merge(target.zone(), 1, Integer::sum);
            return List.of();
        }
        List<IndirectProbe> probes = detector.onFailure(self, target, randomBits);
        if (probes.isEmpty()) {
            suspect(target, nowMs);
        }
        return probes;
    }

    /**
     * Handles the result of a probe through another member.
     *
     * @param target the member that was probed
     * @param isAnswered whether it answered
     * @param nowMs monotonic time in milliseconds
     */
    public void onIndirect(Member target, boolean isAnswered, long nowMs) {
        if (detector.onIndirect(target, isAnswered)) {
            suspect(target, nowMs);
        }
    }

    private void suspect(Member target, long nowMs) {
        detector.toSuspect(target, nowMs).ifPresent(suspected -> mergeOther(suspected, nowMs));
    }

    private boolean mergeAll(Collection<Member> members, long nowMs) {
        boolean isNews = false;
        for (Member member : members) {
            isNews |= member.instance().equals(self.instance()) ? mergeOwn(member, nowMs) : mergeOther(member, nowMs);
        }
        return isNews;
    }

    private boolean mergeOwn(Member told, long nowMs) {
        if (told.incarnation() > self.incarnation()) {
            replaced = true;
            self = self.toState(MemberState.DRAINING);
            return mergeOther(told, nowMs);
        }
        if (replaced || !told.isNewerThan(self)) {
            return false;
        }
        setSelf(self.toSequenceAbove(told.sequence()), nowMs);
        return true;
    }

    private boolean mergeOther(Member member, long nowMs) {
        if (!table.merge(member, nowMs)) {
            return false;
        }
        if (member.state() == MemberState.SUSPECT) {
            detector.onSuspected(member.instance(), nowMs);
        }
        updates.add(member.instance(), table.findLive().size());
        changed = true;
        return true;
    }

    private List<Member> findDiffering(MemberDelta delta) {
        return table.findDiffering(delta.bucketDigests(), round, MAX_SYNC_RECORDS);
    }

    private MemberDelta toDelta(List<Member> extra, boolean hasBuckets) {
        List<Member> records = new ArrayList<>(updates.nextBatch(table));
        for (Member member : extra) {
            if (!records.contains(member)) {
                records.add(member);
            }
        }
        return new MemberDelta(table.getDigest(), hasBuckets ? table.getBucketDigests() : List.of(), records);
    }

    private List<Probe> toProbes(List<Member> targets, boolean isFailureReported) {
        List<Probe> probes = new ArrayList<>();
        for (Member target : targets) {
            List<Member> extra =
                    target.state().isLive() && target.state() != MemberState.SUSPECT ? List.of() : List.of(target);
            probes.add(new Probe(target, toDelta(extra, false), isFailureReported));
        }
        return probes;
    }

    private void addOne(List<Member> targets, List<Member> peers) {
        if (!peers.isEmpty()) {
            targets.add(peers.get(Math.floorMod(round, peers.size())));
        }
    }

    private Overlay getOverlay() {
        if (overlayChanges != table.getChangeCount()) {
            overlay = Overlay.of(self, table.findLive());
            overlayChanges = table.getChangeCount();
        }
        return overlay;
    }
}
