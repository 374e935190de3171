package io.cranberryarch.decision.rate;

/**
 * Reports how many tokens of a grant its holder has spent and returned so far. Both counts only grow, so that a
 * settlement that arrives late or more than once has no effect.
 *
 * @param grant the number of the grant
 * @param spent tokens spent since the grant began, in units of {@link RateShare#UNITS_PER_TOKEN}
 * @param returned tokens returned since the grant began, in the same units; the holder can no longer spend them
 */
public record GrantSettlement(long grant, long spent, long returned) {}
