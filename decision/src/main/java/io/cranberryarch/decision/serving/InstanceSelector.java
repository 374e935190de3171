package io.cranberryarch.decision.serving;

import java.util.List;
import java.util.Optional;

/**
 * Selects the instance for a request: the one of lowest cost among a few random candidates in the local availability
 * zone, or one of another zone if the local zone is nearly full and the other has clearly more free capacity.
 */
public final class InstanceSelector {

    /** The minimum cost in the local availability zone from which other zones are considered. */
    private static final double MIN_SPILL_COST = 0.85;

    /**
     * The minimum cost advantage of an instance in another zone, which keeps traffic from oscillating between zones.
     */
    private static final double MIN_SPILL_COST_MARGIN = 0.15;

    private static final int MAX_SAMPLES = 4;

    private InstanceSelector() {}

    /**
     * Selects an instance.
     *
     * @param local the usable instances of the local availability zone
     * @param remote the usable instances of other zones
     * @param nowMs the time in milliseconds
     * @param randomBits 64 random bits
     * @param <T> the type of an instance
     * @return the selected instance, or empty if there is no usable instance
     */
    public static <T extends Candidate> Optional<T> choose(List<T> local, List<T> remote, long nowMs, long randomBits) {
        Optional<T> localBest = findCheapest(local, nowMs, randomBits);
        if (localBest.isEmpty()) {
            return findCheapest(remote, nowMs, randomBits);
        }
        double localCost = localBest.get().getLoad().toCost(nowMs);
        if (localCost < MIN_SPILL_COST) {
            return localBest;
        }
        Optional<T> remoteBest = findCheapest(remote, nowMs, randomBits);
        if (remoteBest.isPresent() && remoteBest.get().getLoad().toCost(nowMs) < localCost - MIN_SPILL_COST_MARGIN) {
            return remoteBest;
        }
        return localBest;
    }

    private static <T extends Candidate> Optional<T> findCheapest(List<T> pool, long nowMs, long randomBits) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int start = (int) Math.floorMod(randomBits, (long) pool.size());
        int count = Math.min(MAX_SAMPLES, pool.size());
        T best = pool.get(start);
        for (int i = 1; i < count; i++) {
            T other = pool.get((start + i) % pool.size());
            if (other.getLoad().toCost(nowMs) < best.getLoad().toCost(nowMs)) {
                best = other;
            }
        }
        return Optional.of(best);
    }

    /** An instance that can be selected. */
    @FunctionalInterface
    public interface Candidate {

        /**
         * Returns the observed load of the instance.
         *
         * @return the load, not {@code null}
         */
        InstanceLoad getLoad();
    }
}
