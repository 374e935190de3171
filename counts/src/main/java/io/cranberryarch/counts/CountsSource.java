package io.cranberryarch.counts;

/**
 * Identifies a process that counts requests.
 *
 * @param instance the name of its instance
 * @param incarnation the start of the process in milliseconds since 1970, greater after each start on the instance
 * @param zone the availability zone
 */
public record CountsSource(String instance, long incarnation, String zone) {}
