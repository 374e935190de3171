package io.cranberryarch.experiment.rate;

/**
 * A client account and its load.
 *
 * @param name the name of the account
 * @param ratePerSecond the rate of the account, in calls per second
 * @param burst the burst of the account, in calls
 * @param loadRatio the rate of calls sent, as a ratio of the rate of the account
 */
public record RateLoad(String name, double ratePerSecond, double burst, double loadRatio) {}
