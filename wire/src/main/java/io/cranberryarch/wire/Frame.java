package io.cranberryarch.wire;

/**
 * A message with the identifier that correlates an answer with its request.
 *
 * @param id the identifier of the request, 0 for messages without an answer
 * @param message the message, not {@code null}
 */
public record Frame(long id, Message message) {}
