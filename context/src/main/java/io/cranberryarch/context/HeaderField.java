package io.cranberryarch.context;

/**
 * One header of a request or an answer.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {}
