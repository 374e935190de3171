package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides with which members a node exchanges records, and when a member is declared gone. Not thread-safe.
 *
 * <p>In each round a node probes one neighbour. A neighbour that does not answer is probed through other members, then
 * suspected, and declared gone unless it refutes the suspicion within the suspicion timeout. A member is suspected and
 * declared gone only by members of the same zone, so that a partitioned zone is not declared gone.
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
    /** The time that a suspected member has to refute the suspicion, in milliseconds. */
    public static final long SUSPICION_TIMEOUT_MS = 3_000;
    /** The time for which the record of a member that is gone is retained, in milliseconds. */
    public static final long GONE_RETENTION_MS = 6 * 3_600_000;

    private static final int MAX_SYNC_RECORDS = 200;
    private static final int RECONNECT_INTERVAL_ROUNDS = 10;

    private final MemberTable table = new MemberTable();
    private final MemberUpdateQueue updates = new MemberUpdateQueue();
    private final FailureDetector detector;
    private final Map<String, Integer> failuresByZone = new HashMap<>();
    private Member self;
    private boolean replaced;
    private boolean changed;
    private Overlay overlay;
    private long overlayChangeCount = -1;
    private int round;

    /**
     * Creates the state of a node without other known members.
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
     * Returns this node's own record.
     *
     * @return the record
     */
    public Member getSelf() {
        return self;
    }

    /**
     * Returns the known members.
     *
     * @return the table, which callers must not modify
     */
    public MemberTable getTable() {
        return table;
    }

    /**
     * Checks whether this process was replaced by a newer one of the same instance.
     *
     * @return whether a newer process is known, so that this one must not accept calls any more
     */
    public boolean isReplaced() {
        return replaced;
    }

    /**
     * Checks whether no other live member is known.
     *
     * @return whether the node has to contact its seeds
     */
    public boolean hasNoPeers() {
        return table.findLive().size() <= 1;
    }

    /**
     * Checks whether this node connects its zone to the other zones and to the platform.
     *
     * @return whether it is one of the delegates of its zone
     */
    public boolean isDelegate() {
        return getOverlay().isDelegate();
    }

    /**
     * Changes this node's own record.
     *
     * @param next the record with a greater sequence number, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void setSelf(Member next, long nowMs) {
        self = next;
        if (!replaced) {
            mergeOther(next, nowMs);
        }
    }

    /**
     * Returns whether records have changed since the last call, and clears that state.
     *
     * @return whether there are changes to broadcast
     */
    public boolean getAndClearChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /**
     * Starts a round.
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
        List<Member> goneMembers = table.findGone();
        if (round % RECONNECT_INTERVAL_ROUNDS == 0 && !goneMembers.isEmpty()) {
            targets.add(goneMembers.get((int) Long.remainderUnsigned(randomBits, goneMembers.size())));
        }
        round++;
        return toProbes(targets, true);
    }

    /**
     * Creates the probes that broadcast changed records immediately.
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
     * @return the message
     */
    public MemberDelta toJoinMessage() {
        return toDelta(List.of(self), false);
    }

    /**
     * Handles a message from a peer.
     *
     * @param delta the message, not {@code null}
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
     * @param peer the name of the peer's instance, not {@code null}
     * @param delta the answer, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @return the next message to send to the peer immediately, or empty
     */
    public Optional<MemberDelta> onAnswer(String peer, MemberDelta delta, long nowMs) {
        detector.onAnswer(peer, nowMs);
        table.find(peer).ifPresent(member -> failuresByZone.remove(member.zone()));
        boolean isUpdated = mergeAll(delta.members(), nowMs);
        if (delta.digest() == table.getDigest() || delta.bucketDigests().isEmpty()) {
            return Optional.empty();
        }
        List<Member> differing = findDiffering(delta);
        return isUpdated || delta.members().isEmpty() ? Optional.of(toDelta(differing, true)) : Optional.empty();
    }

    /**
     * Handles a probe without an answer.
     *
     * @param target the member that did not answer, not {@code null}
     * @param nowMs monotonic time in milliseconds
     * @param randomBits random bits
     * @return probes through other members, empty if there are none
     */
    public List<IndirectProbe> onFailure(Member target, long nowMs, long randomBits) {
        Optional<Member> current = table.find(target.instance());
        if (current.isEmpty()
                || !current.get().state().isLive()
                || current.get().incarnation() != target.incarnation()) {
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
     * @param target the member that was probed, not {@code null}
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
        boolean isUpdated = false;
        for (Member member : members) {
            isUpdated |=
                    member.instance().equals(self.instance()) ? mergeOwn(member, nowMs) : mergeOther(member, nowMs);
        }
        return isUpdated;
    }

    private boolean mergeOwn(Member received, long nowMs) {
        if (received.incarnation() > self.incarnation()) {
            replaced = true;
            self = self.toState(MemberState.DRAINING);
            return mergeOther(received, nowMs);
        }
        if (replaced || !received.isNewerThan(self)) {
            return false;
        }
        setSelf(self.toSequenceAbove(received.sequence()), nowMs);
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
        if (overlayChangeCount != table.getChangeCount()) {
            overlay = Overlay.of(self, table.findLive());
            overlayChangeCount = table.getChangeCount();
        }
        return overlay;
    }
}
