package io.cranberryarch.settings.serving;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headerTimeoutMs the longest time to send a head, in milliseconds
 * @param idleTimeoutMs the longest time that a connection may be idle, in milliseconds
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
