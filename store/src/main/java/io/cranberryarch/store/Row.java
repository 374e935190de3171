package io.cranberryarch.store;

/**
 * A row of the table.
 *
 * @param key the key of the row
 * @param version the version, 1 after the first write of the row and incremented by one with each further write
 * @param value the value of the row
 */
public record Row(String key, long version, String value) {}
