package io.cranberryarch.api;

/**
 * An edit of the shared settings, which sets or removes one path.
 *
 * @param path the path
 * @param value the new value, {@code null} to remove the path
 */
public record EditBody(String path, String value) {}
