package io.cranberryarch.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.function.Predicate;

/** A pool of persistent connections to one HTTP server. Not thread-safe: must be used from the loop's thread only. */
public final class HttpClientPool {

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxBodyBytes;
    private final long maxIdleMs;
    private final ByteBudget budget;
    private final Deque<HttpClientConnection> idleConnections = new ArrayDeque<>();
    private long openedConnections;

    /**
     * Creates an empty pool.
     *
     * @param loop the loop, not {@code null}
     * @param address the address of the server
     * @param maxBodyBytes the maximum size of a response body, in bytes
     * @param maxIdleMs the time after which an idle connection is no longer used, in milliseconds
     * @param budget limits the bytes that connections buffer for incomplete responses, not {@code null}
     */
    public HttpClientPool(
            EventLoop loop, InetSocketAddress address, int maxBodyBytes, long maxIdleMs, ByteBudget budget) {
        this.loop = loop;
        this.address = address;
        this.maxBodyBytes = maxBodyBytes;
        this.maxIdleMs = maxIdleMs;
        this.budget = budget;
    }

    /**
     * Sends a request on an idle connection, or on a new one if there is none.
     *
     * @param request the request
     * @param responseMatcher tests whether a response belongs to the request; other responses are discarded
     * @param callback receives the outcome
     * @return the connection; {@link HttpClientConnection#cancel} cancels the request
     */
    public HttpClientConnection send(
            HttpRequestMessage request,
            Predicate<HttpResponseMessage> responseMatcher,
            HttpClientConnection.Callback callback) {
        HttpClientConnection connection = acquire();
        connection.send(request, responseMatcher, callback);
        return connection;
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        for (HttpClientConnection connection : new ArrayList<>(idleConnections)) {
            connection.cancel();
        }
        idleConnections.clear();
    }

    /**
     * Returns the number of connections opened so far.
     *
     * @return the number of connections
     */
    public long getOpenedConnections() {
        return openedConnections;
    }

    private HttpClientConnection acquire() {
        while (!idleConnections.isEmpty()) {
            HttpClientConnection connection = idleConnections.pollLast();
            if (connection.isUsable() && connection.getIdleMs() < maxIdleMs) {
                return connection;
            }
            connection.cancel();
        }
        openedConnections++;
        HttpClientConnection connection = new HttpClientConnection(loop, address, maxBodyBytes, budget);
        connection.setListeners(() -> idleConnections.addLast(connection), () -> idleConnections.remove(connection));
        return connection;
    }
}
