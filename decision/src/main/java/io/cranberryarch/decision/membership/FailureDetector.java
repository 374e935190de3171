package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from unanswered probes which members of the own zone are suspected and which are declared gone. Not
 * thread-safe.
 */
final class FailureDetector {

    private static final int MAX_INDIRECT_PROBES = 2;
    private static final long ISOLATION_THRESHOLD_MS = 3_000;

    private final MemberTable table;
    private final Map<String, Long> suspectedAtMs = new HashMap<>();
    private final Map<String, Integer> pendingIndirectProbes = new HashMap<>();
    private long answeredAtMs;

    /**
     * Creates a detector without suspected members.
     *
     * @param table the known members
     * @param nowMs monotonic time in milliseconds
     */
    FailureDetector(MemberTable table, long nowMs) {
        this.table = table;
        this.answeredAtMs = nowMs;
    }

    /** Records that a member answered. */
    void onAnswer(String instance, long nowMs) {
        answeredAtMs = nowMs;
        pendingIndirectProbes.remove(instance);
    }

    /** Records that a member was marked as suspected, by this or another node. */
    void onSuspected(String instance, long nowMs) {
        suspectedAtMs.put(instance, nowMs);
    }

    /**
     * Selects members that probe, on behalf of this node, a member that did not answer.
     *
     * @param self the own record
     * @param target the member that did not answer
     * @param randomBits random bits
     * @return probes through other members of the zone, empty if there are none
     */
    List<IndirectProbe> onFailure(Member self, Member target, long randomBits) {
        List<IndirectProbe> probes = new ArrayList<>();
        for (Member proxy : findProxies(self, target, randomBits)) {
            probes.add(new IndirectProbe(proxy, target));
        }
        if (!probes.isEmpty()) {
            pendingIndirectProbes.put(target.instance(), probes.size());
        }
        return probes;
    }

    /**
     * Records the result of a probe through another member.
     *
     * @param target the member that was probed
     * @param isAnswered whether it answered
     * @return whether all probes through other members failed
     */
    boolean onIndirect(Member target, boolean isAnswered) {
        Integer left = pendingIndirectProbes.get(target.instance());
        if (left == null) {
            return false;
        }
        if (isAnswered) {
            pendingIndirectProbes.remove(target.instance());
            return false;
        }
        if (left > 1) {
            pendingIndirectProbes.put(target.instance(), left - 1);
            return false;
        }
        pendingIndirectProbes.remove(target.instance());
        return true;
    }

    /**
     * Creates the record that marks a member as suspected after all probes failed.
     *
     * @param target the member
     * @param nowMs monotonic time in milliseconds
     * @return the record, or empty if this node is isolated itself or the member was replaced
     */
    Optional<Member> toSuspect(Member target, long nowMs) {
        boolean isIsolated = table.findLive().size() > 2 && nowMs - answeredAtMs > ISOLATION_THRESHOLD_MS;
        Optional<Member> current = table.find(target.instance());
        if (isIsolated || current.isEmpty() || current.get().incarnation() != target.incarnation()) {
            return Optional.empty();
        }
        return Optional.of(current.get().toObservedState(MemberState.SUSPECT));
    }

    /**
     * Returns the members of the own zone that did not refute their suspicion in time.
     *
     * @param ownZone the availability zone of this node
     * @param nowMs monotonic time in milliseconds
     * @return their records, marked as gone
     */
    List<Member> findGone(String ownZone, long nowMs) {
        List<Member> gone = new ArrayList<>();
        for (String instance : List.copyOf(suspectedAtMs.keySet())) {
            Optional<Member> current = table.find(instance);
            if (current.isEmpty() || current.get().state() != MemberState.SUSPECT) {
                suspectedAtMs.remove(instance);
            } else if (nowMs - suspectedAtMs.get(instance) >= Membership.SUSPICION_TIMEOUT_MS
                    && current.get().zone().equals(ownZone)) {
                suspectedAtMs.remove(instance);
                gone.add(current.get().toObservedState(MemberState.GONE));
            }
        }
        return gone;
    }

    private List<Member> findProxies(Member self, Member target, long randomBits) {
        List<Member> proxies = new ArrayList<>();
        for (Member member : table.findLive()) {
            boolean isProxy = member.state() != MemberState.SUSPECT
                    && member.zone().equals(self.zone())
                    && !member.instance().equals(target.instance())
                    && !member.instance().equals(self.instance());
            if (isProxy) {
                proxies.add(member);
            }
        }
        proxies.sort((a, b) -> Long.compare(
                MemberHash.toRank(String.valueOf(randomBits), a.instance()),
                MemberHash.toRank(String.valueOf(randomBits), b.instance())));
        return proxies.subList(0, Math.min(MAX_INDIRECT_PROBES, proxies.size()));
    }
}
