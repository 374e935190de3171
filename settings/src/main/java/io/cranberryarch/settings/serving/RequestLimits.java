package io.cranberryarch.settings.serving;

/**
 * The limits on the size of requests and on the time that callers may take to send them.
 *
 * @param maxHeaderBytes the maximum size of the head of a request, in bytes
 * @param maxBodyBytes the maximum size of the body of a request, in bytes
 * @param headerTimeoutMs the maximum time to send the head of a request, in milliseconds
 * @param idleTimeoutMs the maximum time that a connection may be idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
