package io.cranberryarch.decision.routing;

import io.cranberryarch.decision.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the instance for a call: own zone first, then the less loaded of two random picks.
 *
 * <pre>
 * Optional&lt;Member&gt; choice = InstanceSelector.pick(members, zone, tried, load, randomBits);
 * </pre>
 */
public final class InstanceSelector {

    private static final int HALF_BITS = 32;

    private InstanceSelector() {}

    /**
     * Chooses an instance.
     *
     * @param candidates members that take calls for the service
     * @param zone the zone of the chooser
     * @param excluded instances not to choose
     * @param load the load of a member, greater is busier
     * @param randomBits 64 random bits
     * @return the choice, or empty if there is no candidate
     */
    public static Optional<Member> pick(
            List<Member> candidates,
            String zone,
            Set<String> excluded,
            ToDoubleFunction<Member> load,
            long randomBits) {
        List<Member> near = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Member member : candidates) {
            if (excluded.contains(member.instance())) {
                continue;
            }
            (member.zone().equals(zone) ? near : far).add(member);
        }
        List<Member> pool = near.isEmpty() ? far : near;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        Member first = pool.get(Math.floorMod((int) randomBits, pool.size()));
        Member second = pool.get(Math.floorMod((int) (randomBits >>> HALF_BITS), pool.size()));
        return Optional.of(load.applyAsDouble(second) < load.applyAsDouble(first) ? second : first);
    }
}
