package io.cranberryarch.counts;

/**
 * The process that counts.
 *
 * @param instance the name of its instance
 * @param incarnation greater after each start of a process on the instance, in milliseconds since 1970
 * @param zone the availability zone
 */
public record CountsSource(String instance, long incarnation, String zone) {}
