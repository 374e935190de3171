package io.cranberryarch.api;

/**
 * One path set to a value, or removed.
 *
 * @param path the path
 * @param value the new value, {@code null} to remove the path
 */
public record EditBody(String path, String value) {}
