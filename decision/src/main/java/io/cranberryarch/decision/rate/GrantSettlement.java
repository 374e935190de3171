package io.cranberryarch.decision.rate;

/**
 * What the holder of a grant has done with its tokens so far. Idempotent: both counts only grow, and a settlement that
 * arrives late or twice changes nothing.
 *
 * @param grant the number of the grant
 * @param spent tokens spent since the grant began, in units of {@link RateShare#UNITS_PER_TOKEN}
 * @param returned tokens given back since the grant began, in units, which the holder will not spend
 */
public record GrantSettlement(long grant, long spent, long returned) {}
