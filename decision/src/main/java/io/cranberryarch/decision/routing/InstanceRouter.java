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
 * Selects instances of one service for the calls of one node, based on the node's own observations.
 *
 * <p>The local zone is preferred; other zones are used when it is empty or nearly full. Of two random instances, the
 * one with the lower cost is selected. Failing instances are ejected temporarily, at most half of them; unreachable
 * zones are avoided. Not thread-safe.
 *
 * <pre>
 * Optional&lt;Member&gt; choice = router.choose(members, tried, nowMs, randomBits);
 * router.onEnd(choice.get(), CallOutcome.ANSWERED, latencyMs, load, nowMs);
 * </pre>
 */
public final class InstanceRouter {

    /**
     * The maximum number of instances of the local zone, and of all other zones together, that a node sends calls to.
     */
    public static final int SUBSET_SIZE = 12;

    private static final int HALF_BITS = 32;
    private static final double MIN_SPILL_LOAD_RATIO = 0.8;
    private static final double MAX_SPILL_RATIO = 0.5;
    private static final double MAX_SPILL_CHANGE_PER_MS = 0.0001;
    private static final int MIN_ZONE_FAILURES = 3;
    private static final long ZONE_AVOIDANCE_MS = 5_000;
    private static final long PRUNE_INTERVAL_MS = 10_000;

    private final String instance;
    private final String zone;
    private final Map<String, InstanceStats> stats = new HashMap<>();
    private final Map<String, Integer> zoneFailures = new HashMap<>();
    private final Map<String, Long> zoneAvoidedUntilMs = new HashMap<>();
    private List<Member> subsetSource = List.of();
    private List<Member> local = List.of();
    private List<Member> remote = List.of();
    private boolean isInitialized;
    private double spillRatio;
    private long spillAtMs;
    private boolean hasSpillTime;
    private long prunedAtMs;

    /**
     * Creates a router without observations.
     *
     * @param instance the name of the local instance
     * @param zone its availability zone
     */
    public InstanceRouter(String instance, String zone) {
        this.instance = instance;
        this.zone = zone;
    }

    /**
     * Selects an instance and counts a call to it until {@link #onEnd}.
     *
     * @param candidates the members that accept calls for the service; the same list as long as they do not change
     * @param tried the names of instances to exclude
     * @param nowMs monotonic time in milliseconds
     * @param randomBits 64 random bits
     * @return the selected member, or empty if there is no candidate
     */
    public Optional<Member> choose(List<Member> candidates, Set<String> tried, long nowMs, long randomBits) {
        updateSubset(candidates, nowMs);
        List<Member> localPool = findUsable(local, tried, nowMs);
        List<Member> remotePool = findUsable(remote, tried, nowMs);
        boolean isSpilling = isSpilling(localPool, remotePool, nowMs, randomBits);
        List<Member> pool = localPool.isEmpty() || isSpilling ? remotePool : localPool;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int first = Math.floorMod((int) randomBits, pool.size());
        int second = Math.floorMod((int) (randomBits >>> HALF_BITS), pool.size());
        if (first == second) {
            second = (second + 1) % pool.size();
        }
        double meanLatencyMs = toMeanLatencyMs(pool);
        InstanceStats firstStats = toStats(pool.get(first));
        InstanceStats secondStats = toStats(pool.get(second));
        boolean isSecond = secondStats.toCost(nowMs, meanLatencyMs) < firstStats.toCost(nowMs, meanLatencyMs);
        (isSecond ? secondStats : firstStats).onStart();
        return Optional.of(pool.get(isSecond ? second : first));
    }

    /**
     * Records the end of an attempt.
     *
     * @param member the selected instance
     * @param outcome the observed outcome
     * @param latencyMs the latency in milliseconds
     * @param load the load reported by the gate, or empty
     * @param nowMs monotonic time in milliseconds
     */
    public void onEnd(Member member, CallOutcome outcome, long latencyMs, Optional<LoadReport> load, long nowMs) {
        InstanceStats observed = stats.get(member.instance());
        if (observed == null || observed.getIncarnation() != member.incarnation()) {
            return;
        }
        load.ifPresent(report -> observed.onReport(report, nowMs));
        observed.onEnd(outcome, latencyMs, nowMs);
        if (outcome == CallOutcome.UNREACHABLE) {
            if (zoneFailures.merge(member.zone(), 1, Integer::sum) >= MIN_ZONE_FAILURES) {
                zoneAvoidedUntilMs.put(member.zone(), nowMs + ZONE_AVOIDANCE_MS);
            }
        } else if (outcome != CallOutcome.IRRELEVANT) {
            zoneFailures.remove(member.zone());
            zoneAvoidedUntilMs.remove(member.zone());
        }
    }

    private void updateSubset(List<Member> candidates, long nowMs) {
        if (candidates != subsetSource) {
            subsetSource = candidates;
            List<Member> localZone = new ArrayList<>();
            List<Member> otherZones = new ArrayList<>();
            for (Member member : candidates) {
                (member.zone().equals(zone) ? localZone : otherZones).add(member);
            }
            local = toSubset(localZone);
            remote = toSubset(otherZones);
            local.forEach(member -> track(member, nowMs));
            remote.forEach(member -> track(member, nowMs));
            isInitialized |= !candidates.isEmpty();
        }
        if (nowMs - prunedAtMs >= PRUNE_INTERVAL_MS) {
            prunedAtMs = nowMs;
            Set<String> names = new HashSet<>();
            candidates.forEach(member -> names.add(member.instance()));
            stats.entrySet()
                    .removeIf(entry ->
                            !names.contains(entry.getKey()) && entry.getValue().getOutstanding() == 0);
        }
    }

    private void track(Member member, long nowMs) {
        InstanceStats existing = stats.get(member.instance());
        if (existing == null || existing.getIncarnation() != member.incarnation()) {
            stats.put(member.instance(), new InstanceStats(member.incarnation(), nowMs, !isInitialized));
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
        List<Member> candidates = new ArrayList<>();
        List<Member> usable = new ArrayList<>();
        for (Member member : members) {
            if (tried.contains(member.instance())) {
                continue;
            }
            candidates.add(member);
            boolean isAvoided = nowMs < zoneAvoidedUntilMs.getOrDefault(member.zone(), Long.MIN_VALUE);
            if (!isAvoided && !toStats(member).isEjected(nowMs)) {
                usable.add(member);
            }
        }
        return 2 * usable.size() >= candidates.size() ? usable : addEjected(candidates, usable);
    }

    /**
     * Adds ejected instances with the fewest outstanding calls until half of all are usable, so that never all are
     * ejected.
     */
    private List<Member> addEjected(List<Member> candidates, List<Member> usable) {
        List<Member> ejected = new ArrayList<>(candidates);
        ejected.removeAll(usable);
        ejected.removeIf(member -> !usable.isEmpty() && zoneAvoidedUntilMs.containsKey(member.zone()));
        ejected.sort(Comparator.comparingInt((Member member) -> toStats(member).getOutstanding())
                .thenComparing(Member::instance));
        List<Member> result = new ArrayList<>(usable);
        for (Member member : ejected) {
            if (2 * result.size() >= candidates.size()) {
                break;
            }
            result.add(member);
        }
        return result;
    }

    private boolean isSpilling(List<Member> localPool, List<Member> remotePool, long nowMs, long randomBits) {
        if (localPool.isEmpty() || remotePool.isEmpty()) {
            return false;
        }
        double localLoad = toMeanLoad(localPool, nowMs);
        boolean isRemoteLessLoaded = toMeanLoad(remotePool, nowMs) < localLoad;
        double targetRatio = isRemoteLessLoaded
                ? Math.min(MAX_SPILL_RATIO, Math.max(0, localLoad - MIN_SPILL_LOAD_RATIO) / (1 - MIN_SPILL_LOAD_RATIO))
                : 0;
        double maxChange = hasSpillTime ? MAX_SPILL_CHANGE_PER_MS * Math.max(0, nowMs - spillAtMs) : 0;
        spillAtMs = nowMs;
        hasSpillTime = true;
        spillRatio += Math.max(-maxChange, Math.min(maxChange, targetRatio - spillRatio));
        double draw = (randomBits >>> 11) * 0x1.0p-53;
        return draw < spillRatio;
    }

    private double toMeanLoad(List<Member> members, long nowMs) {
        double sum = 0;
        for (Member member : members) {
            sum += toStats(member).toReportedLoad(nowMs);
        }
        return sum / members.size();
    }

    private double toMeanLatencyMs(List<Member> members) {
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
