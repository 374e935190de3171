package io.cranberryarch.context;

/**
 * A header field of a request or an answer.
 *
 * @param name the name of the header
 * @param value the value of the header
 */
public record HeaderField(String name, String value) {}
