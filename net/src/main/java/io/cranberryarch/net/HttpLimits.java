package io.cranberryarch.net;

/**
 * What a client may send on a connection.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMs the longest time to send a whole request, in milliseconds without progress
 * @param idleTimeoutMs the longest time between two requests, in milliseconds
 */
public record HttpLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** Limits before a configuration is known: common defaults of HTTP servers. */
    public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 16 * 1024 * 1024, 10_000, 60_000);
}
