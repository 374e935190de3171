package io.cranberryarch.api;

import java.util.SortedMap;

/**
 * A subtree of the shared settings.
 *
 * @param version the version in force at the node
 * @param values the values by path
 */
public record SettingsBody(long version, SortedMap<String, String> values) {}
