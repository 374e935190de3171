package io.cranberryarch.decision.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.decision.membership.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the instances of one service for the calls of one node, by what the node itself observes of them.
 *
 * <p>Own zone first, and other zones when the own one is empty or nearly full; of two random instances the one with the
 * lower cost. Instances that fail are ejected for a while, at most half of them; zones that cannot be reached are
 * avoided. Not thread-safe.
 *
 * <pre>
 * Optional&lt;Member&gt; choice = router.choose(members, tried, nowMs, randomBits);
 * router.onEnd(choice.get(), CallOutcome.ANSWERED, tookMs, load, nowMs);
 * </pre>
 */
public final class InstanceRouter {

    /** The most instances of a zone, and of all other zones together, that one node sends calls to. */
    public static final int SUBSET_SIZE = 12;

    private static final int HALF_BITS = 32;
    private static final double SPILL_LOAD = 0.8;
    private static final double MAX_SPILL = 0.5;
    private static final double SPILL_STEP_PER_MS = 0.0001;
    private static final int ZONE_FAILURES = 3;
    private static final long ZONE_AVOIDANCE_MS = 5_000;
    private static final long FORGET_CHECK_MS = 10_000;

    private final String instance;
    private final String zone;
    private final Map<String, InstanceStats> stats = new HashMap<>();
    private final Map<String, Integer> zoneFailures = new HashMap<>();
    private final Map<String, Long> zoneAvoidedUntilMs = new HashMap<>();
    private List<Member> subsetOf = List.of();
    private List<Member> near = List.of();
    private List<Member> far = List.of();
    private boolean hasStarted;
    private double spill;
    private long spillAtMs;
    private boolean isSpillTimed;
    private long forgottenAtMs;

    /**
     * Creates a router that has observed nothing.
     *
     * @param instance the name of the choosing instance
     * @param zone its availability zone
     */
    public InstanceRouter(String instance, String zone) {
        this.instance = instance;
        this.zone = zone;
    }

    /**
     * Chooses an instance and counts a call to it until {@link #onEnd}.
     *
     * @param candidates members that take calls for the service; the same list as long as they do not change
     * @param tried instances not to choose
     * @param nowMs monotonic time in milliseconds
     * @param randomBits 64 random bits
     * @return the choice, or empty if there is no candidate
     */
    public Optional<Member> choose(List<Member> candidates, Set<String> tried, long nowMs, long randomBits) {
        updateSubset(candidates, nowMs);
        List<Member> nearPool = findUsable(near, tried, nowMs);
        List<Member> farPool = findUsable(far, tried, nowMs);
        boolean isSpilling = isSpilling(nearPool, farPool, nowMs, randomBits);
        List<Member> pool = nearPool.isEmpty() || isSpilling ? farPool : nearPool;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int first = Math.floorMod((int) randomBits, pool.size());
        int second = Math.floorMod((int) (randomBits >>> HALF_BITS), pool.size());
        if (first == second) {
            second = (second + 1) % pool.size();
        }
        double typicalMs = toTypicalLatencyMs(pool);
        InstanceStats firstStats = toStats(pool.get(first));
        InstanceStats secondStats = toStats(pool.get(second));
        boolean isSecond = secondStats.toCost(nowMs, typicalMs) < firstStats.toCost(nowMs, typicalMs);
        (isSecond ? secondStats : firstStats).onStart();
        return Optional.of(pool.get(isSecond ? second : first));
    }

    /**
     * Notes the end of an attempt.
     *
     * @param member the instance that was chosen
     * @param outcome what was observed
     * @param tookMs how long it took, in milliseconds
     * @param load what the gate said about its load, if it did
     * @param nowMs monotonic time in milliseconds
     */
    public void onEnd(Member member, CallOutcome outcome, long tookMs, Optional<LoadReport> load, long nowMs) {
        InstanceStats observed = stats.get(member.instance());
        if (observed == null || observed.getIncarnation() != member.incarnation()) {
            return;
        }
        load.ifPresent(report -> observed.onReport(report, nowMs));
        observed.onEnd(outcome, tookMs, nowMs);
        if (outcome == CallOutcome.UNREACHABLE) {
            if (zoneFailures.merge(member.zone(), 1, Integer::sum) >= ZONE_FAILURES) {
                zoneAvoidedUntilMs.put(member.zone(), nowMs + ZONE_AVOIDANCE_MS);
            }
        } else if (outcome != CallOutcome.IRRELEVANT) {
            zoneFailures.remove(member.zone());
            zoneAvoidedUntilMs.remove(member.zone());
        }
    }

    private void updateSubset(List<Member> candidates, long nowMs) {
        if (candidates != subsetOf) {
            subsetOf = candidates;
            List<Member> inZone = new ArrayList<>();
            List<Member> elsewhere = new ArrayList<>();
            for (Member member : candidates) {
                (member.zone().equals(zone) ? inZone : elsewhere).add(member);
            }
            near = toSubset(inZone);
            far = toSubset(elsewhere);
            near.forEach(member -> observe(member, nowMs));
            far.forEach(member -> observe(member, nowMs));
            hasStarted |= !candidates.isEmpty();
        }
        if (nowMs - forgottenAtMs >= FORGET_CHECK_MS) {
            forgottenAtMs = nowMs;
            Set<String> names = new HashSet<>();
            candidates.forEach(member -> names.add(member.instance()));
            stats.entrySet()
                    .removeIf(entry ->
                            !names.contains(entry.getKey()) && entry.getValue().getOutstanding() == 0);
        }
    }

    private void observe(Member member, long nowMs) {
        InstanceStats known = stats.get(member.instance());
        if (known == null || known.getIncarnation() != member.incarnation()) {
            stats.put(member.instance(), new InstanceStats(member.incarnation(), nowMs, !hasStarted));
        }
    }

    private List<Member> toSubset(List<Member> members) {
        if (members.size() <= SUBSET_SIZE) {
            return members;
        }
        List<Member> ranked = new ArrayList<>(members);
        ranked.sort(Comparator.comparingLong(this::toRank).thenComparing(Member::instance));
        return List.copyOf(ranked.subList(0, SUBSET_SIZE));
    }

    private long toRank(Member member) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(instance)
                .putString(member.instance())
                .getAsLong();
    }

    private List<Member> findUsable(List<Member> members, Set<String> tried, long nowMs) {
        List<Member> left = new ArrayList<>();
        List<Member> usable = new ArrayList<>();
        for (Member member : members) {
            if (tried.contains(member.instance())) {
                continue;
            }
            left.add(member);
            boolean isAvoided = nowMs < zoneAvoidedUntilMs.getOrDefault(member.zone(), Long.MIN_VALUE);
            if (!isAvoided && !toStats(member).isEjected(nowMs)) {
                usable.add(member);
            }
        }
        return 2 * usable.size() >= left.size() ? usable : mixEjected(left, usable);
    }

    /** Fills up to half of the instances with those whose own calls are fewest, so that never all are ejected. */
    private List<Member> mixEjected(List<Member> left, List<Member> usable) {
        List<Member> ejected = new ArrayList<>(left);
        ejected.removeAll(usable);
        ejected.removeIf(member -> !usable.isEmpty() && zoneAvoidedUntilMs.containsKey(member.zone()));
        ejected.sort(Comparator.comparingInt((Member member) -> toStats(member).getOutstanding())
                .thenComparing(Member::instance));
        List<Member> mixed = new ArrayList<>(usable);
        for (Member member : ejected) {
            if (2 * mixed.size() >= left.size()) {
                break;
            }
            mixed.add(member);
        }
        return mixed;
    }

    private boolean isSpilling(List<Member> nearPool, List<Member> farPool, long nowMs, long randomBits) {
        if (nearPool.isEmpty() || farPool.isEmpty()) {
            return false;
        }
        double nearLoad = toMeanLoad(nearPool, nowMs);
        boolean isFarIdler = toMeanLoad(farPool, nowMs) < nearLoad;
        double wanted = isFarIdler ? Math.min(MAX_SPILL, Math.max(0, nearLoad - SPILL_LOAD) / (1 - SPILL_LOAD)) : 0;
        double step = isSpillTimed ? SPILL_STEP_PER_MS * Math.max(0, nowMs - spillAtMs) : 0;
        spillAtMs = nowMs;
        isSpillTimed = true;
        spill += Math.max(-step, Math.min(step, wanted - spill));
        double draw = (randomBits >>> 11) * 0x1.0p-53;
        return draw < spill;
    }

    private double toMeanLoad(List<Member> members, long nowMs) {
        double sum = 0;
        for (Member member : members) {
            sum += toStats(member).toReportedLoad(nowMs);
        }
        return sum / members.size();
    }

    private double toTypicalLatencyMs(List<Member> members) {
        double sum = 0;
        int count = 0;
        for (Member member : members) {
            double latencyMs = toStats(member).getLatencyMs();
            if (latencyMs > 0) {
                sum += latencyMs;
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    private InstanceStats toStats(Member member) {
        return stats.get(member.instance());
    }
}
