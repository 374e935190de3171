package io.cranberryarch.decision.routing;

import io.cranberryarch.decision.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Selects the instance for a call: the less loaded of two random candidates, preferably in the local zone.
 *
 * <pre>
 * Optional&lt;Member&gt; choice = InstanceSelector.pick(members, zone, tried, load, randomBits);
 * </pre>
 */
public final class InstanceSelector {

    private static final int HALF_BITS = 32;

    private InstanceSelector() {}

    /**
     * Selects an instance.
     *
     * @param candidates the members that accept calls for the service, not {@code null}
     * @param zone the local zone
     * @param excluded the names of instances to exclude
     * @param load the function that returns the load of a member; higher values mean more load
     * @param randomBits 64 random bits
     * @return the selected member, or empty if there is no candidate
     */
    public static Optional<Member> pick(
            List<Member> candidates,
            String zone,
            Set<String> excluded,
            ToDoubleFunction<Member> load,
            long randomBits) {
        List<Member> local = new ArrayList<>();
        List<Member> remote = new ArrayList<>();
        for (Member member : candidates) {
            if (excluded.contains(member.instance())) {
                continue;
            }
            (member.zone().equals(zone) ? local : remote).add(member);
        }
        List<Member> pool = local.isEmpty() ? remote : local;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        Member first = pool.get(Math.floorMod((int) randomBits, pool.size()));
        Member second = pool.get(Math.floorMod((int) (randomBits >>> HALF_BITS), pool.size()));
        return Optional.of(load.applyAsDouble(second) < load.applyAsDouble(first) ? second : first);
    }
}
