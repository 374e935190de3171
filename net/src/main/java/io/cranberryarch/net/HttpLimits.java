package io.cranberryarch.net;

/**
 * Limits on the requests that a client sends on a connection.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMs the longest time without received bytes while a request is incomplete, in milliseconds
 * @param idleTimeoutMs the longest idle time between two requests, in milliseconds
 */
public record HttpLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits that apply until a configuration is loaded: common defaults of HTTP servers. */
    public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 16 * 1024 * 1024, 10_000, 60_000);
}
