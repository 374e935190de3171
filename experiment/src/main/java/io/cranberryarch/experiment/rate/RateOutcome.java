package io.cranberryarch.experiment.rate;

/**
 * The outcome of the calls of a simulation. A call is within the rate if a single token bucket for the whole fleet
 * would admit it.
 *
 * @param calls the number of calls
 * @param admitted the number of admitted calls
 * @param withinRate the number of calls within the rate
 * @param refusedWithinRate the number of calls within the rate that were refused
 * @param withinRateInCutZone the number of calls within the rate in the zone that is cut off
 * @param refusedInCutZone the number of those calls that were refused
 * @param messages the number of requests to allocators on other nodes
 */
public record RateOutcome(
        long calls,
        long admitted,
        long withinRate,
        long refusedWithinRate,
        long withinRateInCutZone,
        long refusedInCutZone,
        long messages) {

    /** No calls. */
    public static final RateOutcome NONE = new RateOutcome(0, 0, 0, 0, 0, 0, 0);

    /**
     * Adds two outcomes.
     *
     * @param other the other outcome, not {@code null}
     * @return the sum
     */
    public RateOutcome plus(RateOutcome other) {
        return new RateOutcome(
                calls + other.calls,
                admitted + other.admitted,
                withinRate + other.withinRate,
                refusedWithinRate + other.refusedWithinRate,
                withinRateInCutZone + other.withinRateInCutZone,
                refusedInCutZone + other.refusedInCutZone,
                messages + other.messages);
    }

    /**
     * Computes the ratio of calls within the rate that were refused.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatio() {
        return toRatio(refusedWithinRate, withinRate);
    }

    /**
     * Computes the same ratio for the zone that is cut off.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatioInCutZone() {
        return toRatio(refusedInCutZone, withinRateInCutZone);
    }

    /**
     * Computes the same ratio for all other zones.
     *
     * @return the ratio from 0 to 1
     */
    public double toRefusedRatioElsewhere() {
        return toRatio(refusedWithinRate - refusedInCutZone, withinRate - withinRateInCutZone);
    }

    private static double toRatio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
