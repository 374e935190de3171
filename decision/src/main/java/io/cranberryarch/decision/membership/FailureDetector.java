package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from probes without an answer which members of the own zone are suspected and which are taken for gone. Not
 * thread-safe.
 */
final class FailureDetector {

    private static final int INDIRECT_PROBES = 2;
    private static final long ISOLATION_MS = 3_000;

    private final MemberTable table;
    private final Map<String, Long> suspectedAtMs = new HashMap<>();
    private final Map<String, Integer> indirectLeft = new HashMap<>();
    private long answeredAtMs;

    /**
     * Creates a detector that suspects nobody.
     *
     * @param table the members known
     * @param nowMs monotonic time in milliseconds
     */
    FailureDetector(MemberTable table, long nowMs) {
        this.table = table;
        this.answeredAtMs = nowMs;
    }

    /** Notes that a member answered. */
    void onAnswer(String instance, long nowMs) {
        answeredAtMs = nowMs;
        indirectLeft.remove(instance);
    }

    /** Notes that a member was marked as suspected, here or by another node. */
    void onSuspected(String instance, long nowMs) {
        suspectedAtMs.put(instance, nowMs);
    }

    /**
     * Chooses who probes a member that gave no answer.
     *
     * @param self the own record
     * @param target the member
     * @param randomBits random bits
     * @return probes through other members of the zone, empty if there is no other
     */
    List<IndirectProbe> onFailure(Member self, Member target, long randomBits) {
        List<IndirectProbe> probes = new ArrayList<>();
        for (Member via : findHelpers(self, target, randomBits)) {
            probes.add(new IndirectProbe(via, target));
        }
        if (!probes.isEmpty()) {
            indirectLeft.put(target.instance(), probes.size());
        }
        return probes;
    }

    /**
     * Counts the result of a probe through another member.
     *
     * @param target the member that was probed
     * @param isAnswered whether it answered
     * @return whether no probe is left that could still be answered
     */
    boolean onIndirect(Member target, boolean isAnswered) {
        Integer left = indirectLeft.get(target.instance());
        if (left == null) {
            return false;
        }
        if (isAnswered) {
            indirectLeft.remove(target.instance());
            return false;
        }
        if (left > 1) {
            indirectLeft.put(target.instance(), left - 1);
            return false;
        }
        indirectLeft.remove(target.instance());
        return true;
    }

    /**
     * Judges a member that nobody got an answer from.
     *
     * @param target the member
     * @param nowMs monotonic time in milliseconds
     * @return its record as suspected, or empty if this node is cut off itself or the member was replaced
     */
    Optional<Member> toSuspect(Member target, long nowMs) {
        boolean isIsolated = table.findLive().size() > 2 && nowMs - answeredAtMs > ISOLATION_MS;
        Optional<Member> known = table.find(target.instance());
        if (isIsolated || known.isEmpty() || known.get().incarnation() != target.incarnation()) {
            return Optional.empty();
        }
        return Optional.of(known.get().toObservedState(MemberState.SUSPECT));
    }

    /**
     * Finds the members of the own zone that did not contradict their suspicion in time.
     *
     * @param ownZone the availability zone of this node
     * @param nowMs monotonic time in milliseconds
     * @return their records as gone
     */
    List<Member> findGone(String ownZone, long nowMs) {
        List<Member> gone = new ArrayList<>();
        for (String instance : List.copyOf(suspectedAtMs.keySet())) {
            Optional<Member> known = table.find(instance);
            if (known.isEmpty() || known.get().state() != MemberState.SUSPECT) {
                suspectedAtMs.remove(instance);
            } else if (nowMs - suspectedAtMs.get(instance) >= Membership.SUSPICION_TIMEOUT_MS
                    && known.get().zone().equals(ownZone)) {
                suspectedAtMs.remove(instance);
                gone.add(known.get().toObservedState(MemberState.GONE));
            }
        }
        return gone;
    }

    private List<Member> findHelpers(Member self, Member target, long randomBits) {
        List<Member> helpers = new ArrayList<>();
        for (Member member : table.findLive()) {
            boolean isHelper = member.state() != MemberState.SUSPECT
                    && member.zone().equals(self.zone())
                    && !member.instance().equals(target.instance())
                    && !member.instance().equals(self.instance());
            if (isHelper) {
                helpers.add(member);
            }
        }
        helpers.sort((a, b) -> Long.compare(
                MemberHash.toRank(String.valueOf(randomBits), a.instance()),
                MemberHash.toRank(String.valueOf(randomBits), b.instance())));
        return helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()));
    }
}
