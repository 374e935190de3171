package io.cranberryarch.decision.serving;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the instance for a request: the cheaper of a few random ones in the own availability zone, or one of another
 * zone if the own one is nearly full and the other has clearly more room.
 */
public final class InstanceSelector {

    /** The cost from which other availability zones are considered. */
    private static final double SPILL_COST = 0.85;

    /** How much cheaper an instance of another zone must be, so that traffic does not swing between zones. */
    private static final double SPILL_MARGIN = 0.15;

    private static final int SAMPLES = 4;

    private InstanceSelector() {}

    /**
     * Chooses an instance.
     *
     * @param near usable instances of the own availability zone
     * @param far usable instances of other zones
     * @param nowMs the time in milliseconds
     * @param randomBits 64 random bits
     * @param <T> the type of an instance
     * @return the choice, or empty if there is no usable instance
     */
    public static <T extends Candidate> Optional<T> choose(List<T> near, List<T> far, long nowMs, long randomBits) {
        Optional<T> nearBest = findCheapest(near, nowMs, randomBits);
        if (nearBest.isEmpty()) {
            return findCheapest(far, nowMs, randomBits);
        }
        double nearCost = nearBest.get().getLoad().toCost(nowMs);
        if (nearCost < SPILL_COST) {
            return nearBest;
        }
        Optional<T> farBest = findCheapest(far, nowMs, randomBits);
        if (farBest.isPresent() && farBest.get().getLoad().toCost(nowMs) < nearCost - SPILL_MARGIN) {
            return farBest;
        }
        return nearBest;
    }

    private static <T extends Candidate> Optional<T> findCheapest(List<T> pool, long nowMs, long randomBits) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int start = (int) Math.floorMod(randomBits, (long) pool.size());
        int count = Math.min(SAMPLES, pool.size());
        T best = pool.get(start);
        for (int i = 1; i < count; i++) {
            T other = pool.get((start + i) % pool.size());
            if (other.getLoad().toCost(nowMs) < best.getLoad().toCost(nowMs)) {
                best = other;
            }
        }
        return Optional.of(best);
    }

    /** An instance that may be chosen. */
    @FunctionalInterface
    public interface Candidate {

        /**
         * Gets what is known of its load.
         *
         * @return the load
         */
        InstanceLoad getLoad();
    }
}
