package io.cranberryarch.settings;

import java.util.Optional;

/**
 * An edit that sets a path to a value or removes it.
 *
 * @param path the path, not {@code null}
 * @param value the new value, or empty to remove the path
 */
public record SettingEdit(SettingPath path, Optional<String> value) {}
