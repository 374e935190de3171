package io.cranberryarch.settings;

import java.util.Optional;

/**
 * One path set to a value, or removed.
 *
 * @param path the path, not {@code null}
 * @param value the new value, or empty to remove the path
 */
public record SettingEdit(SettingPath path, Optional<String> value) {}
