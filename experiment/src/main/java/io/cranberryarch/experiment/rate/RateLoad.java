package io.cranberryarch.experiment.rate;

/**
 * A client account and how much it sends.
 *
 * @param name the name of the account
 * @param ratePerSecond its rate
 * @param burst its burst
 * @param loadRatio calls sent, as a ratio of the rate
 */
public record RateLoad(String name, double ratePerSecond, double burst, double loadRatio) {}
