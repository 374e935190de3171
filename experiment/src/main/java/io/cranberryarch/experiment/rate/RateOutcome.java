package io.cranberryarch.experiment.rate;

/**
 * What became of the calls of one run. A call is within the rate if one bucket for the whole fleet would admit it.
 *
 * @param calls all calls
 * @param admitted calls admitted
 * @param within calls within the rate
 * @param refusedWithin calls within the rate that were refused
 * @param withinInCutZone calls within the rate in the zone that is cut off
 * @param refusedInCutZone those of them that were refused
 * @param messages requests to allocators that left their node
 */
public record RateOutcome(
        long calls,
        long admitted,
        long within,
        long refusedWithin,
        long withinInCutZone,
        long refusedInCutZone,
        long messages) {

    /** No calls. */
    public static final RateOutcome NONE = new RateOutcome(0, 0, 0, 0, 0, 0, 0);

    /**
     * Adds two outcomes.
     *
     * @param other the other one, not {@code null}
     * @return the sum
     */
    public RateOutcome plus(RateOutcome other) {
        return new RateOutcome(
                calls + other.calls,
                admitted + other.admitted,
                within + other.within,
                refusedWithin + other.refusedWithin,
                withinInCutZone + other.withinInCutZone,
                refusedInCutZone + other.refusedInCutZone,
                messages + other.messages);
    }

    /**
     * Computes the ratio of calls within the rate that were refused.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatio() {
        return toRatio(refusedWithin, within);
    }

    /**
     * Computes the same ratio for the zone that is cut off.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatioInCutZone() {
        return toRatio(refusedInCutZone, withinInCutZone);
    }

    /**
     * Computes the same ratio for all other zones.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatioElsewhere() {
        return toRatio(refusedWithin - refusedInCutZone, within - withinInCutZone);
    }

    private static double toRatio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
