package io.cranberryarch.settings;

/**
 * A client account with its rate and weight.
 *
 * @param name the name, unique in the fleet
 * @param team the team whose subtree defines it
 * @param ratePerSecond the maximum rate in requests per second, over all instances together
 * @param burst the number of requests that may arrive at once, over all instances together
 * @param weight the share of an overloaded upstream relative to other accounts, 1 by default
 */
public record ClientAccount(String name, String team, double ratePerSecond, double burst, double weight) {}
