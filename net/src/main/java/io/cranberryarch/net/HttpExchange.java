package io.cranberryarch.net;

import java.net.InetAddress;
import java.util.Optional;

/** A request and its response. Not thread-safe: must be used from the loop's thread only. */
public interface HttpExchange {

    /**
     * Returns the request.
     *
     * @return the complete request
     */
    HttpRequestMessage getRequest();

    /**
     * Returns the address of the client.
     *
     * @return the remote address of the connection, or empty if the connection is closed
     */
    Optional<InetAddress> getRemoteAddress();

    /**
     * Returns whether the client runs on this host. Its address may differ from that of the server: a client that does
     * not bind its socket reaches any loopback address from 127.0.0.1.
     *
     * @return {@code true} if the remote address is a loopback address or equals the local one
     */
    boolean isFromLocalHost();

    /**
     * Returns the time at which the last byte of the request was read.
     *
     * @return the monotonic time in milliseconds, see {@link EventLoop#nowMs()}
     */
    long getReceivedAtMs();

    /**
     * Sends the response, after the responses to earlier requests on the connection. Only the first call has an effect,
     * and none once the connection is closed.
     *
     * @param response the response, without Content-Length and Connection headers, which are added
     */
    void respond(HttpResponseMessage response);

    /**
     * Sets the action that runs if the connection is closed before {@link #respond} is called.
     *
     * @param action the action, not {@code null}; replaces an earlier one
     */
    void onAbandoned(Runnable action);

    /**
     * Returns whether the connection was closed before the response was sent.
     *
     * @return {@code true} if it was closed
     */
    boolean isAbandoned();
}
