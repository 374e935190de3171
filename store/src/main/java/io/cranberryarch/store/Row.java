package io.cranberryarch.store;

/**
 * A row of the table.
 *
 * @param key the key
 * @param version grows by one with each write of the row, 1 after the first
 * @param value the value
 */
public record Row(String key, long version, String value) {}
