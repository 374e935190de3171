package io.cranberryarch.net;

import java.net.InetAddress;
import java.util.Optional;

/** A request that waits for its response. Used from the loop's thread only. */
public interface HttpExchange {

    /**
     * Gets the request.
     *
     * @return the whole request
     */
    HttpRequestMessage getRequest();

    /**
     * Gets the address of the client.
     *
     * @return the address at the other end of the connection, or empty if the connection is closed
     */
    Optional<InetAddress> getRemoteAddress();

    /**
     * Gets the time at which the last byte of the request was read.
     *
     * @return monotonic milliseconds
     */
    long getReceivedAtMs();

    /**
     * Sends the response, after those of earlier requests on the connection. Later calls do nothing.
     *
     * @param response the response; its length and connection headers are added
     */
    void respond(HttpResponseMessage response);

    /**
     * Sets what happens if the client closes the connection before the response was given.
     *
     * @param action the action, which replaces an earlier one
     */
    void onAbandoned(Runnable action);

    /**
     * Tells whether the client has closed the connection.
     *
     * @return whether nobody waits for the response
     */
    boolean isAbandoned();
}
