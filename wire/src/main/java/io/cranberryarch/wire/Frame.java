package io.cranberryarch.wire;

/**
 * A message with the number that ties an answer to its request.
 *
 * @param id the number of the request, 0 for messages without an answer
 * @param message the message
 */
public record Frame(long id, Message message) {}
