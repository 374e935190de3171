package io.cranberryarch.settings;

/**
 * A client account and its share of the fleet.
 *
 * @param name the name, unique in the fleet
 * @param team the team whose subtree defines it
 * @param ratePerSecond requests a second over all instances together
 * @param burst requests that may arrive at once, over all instances together
 * @param weight the share of a busy upstream relative to other accounts, 1 by default
 */
public record ClientAccount(String name, String team, double ratePerSecond, double burst, double weight) {}
