package io.cranberryarch.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.function.Predicate;

/** Connections to one HTTP server, kept for further requests. Used from the loop's thread only. */
public final class HttpClientPool {

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxBodyBytes;
    private final long maxIdleMs;
    private final ByteBudget budget;
    private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
    private long opened;

    /**
     * Creates a pool without connections.
     *
     * @param loop the loop, not {@code null}
     * @param address the address of the server
     * @param maxBodyBytes the largest body of a response
     * @param maxIdleMs the longest time to keep an unused connection, in milliseconds
     * @param budget bounds what connections hold of responses that are not whole
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
     * @param isAnswer tells whether a response belongs to the request
     * @param callback learns the outcome
     * @return the connection, whose {@link HttpClientConnection#cancel} gives the request up
     */
    public HttpClientConnection send(
            HttpRequestMessage request,
            Predicate<HttpResponseMessage> isAnswer,
            HttpClientConnection.Callback callback) {
        HttpClientConnection connection = take();
        connection.send(request, isAnswer, callback);
        return connection;
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        for (HttpClientConnection connection : new ArrayList<>(idle)) {
            connection.cancel();
        }
        idle.clear();
    }

    /**
     * Counts the connections opened so far.
     *
     * @return the number of connections
     */
    public long getOpened() {
        return opened;
    }

    private HttpClientConnection take() {
        while (!idle.isEmpty()) {
            HttpClientConnection connection = idle.pollLast();
            if (connection.isUsable() && connection.getIdleMs() < maxIdleMs) {
                return connection;
            }
            connection.cancel();
        }
        opened++;
        HttpClientConnection connection = new HttpClientConnection(loop, address, maxBodyBytes, budget);
        connection.setListeners(() -> idle.addLast(connection), () -> idle.remove(connection));
        return connection;
    }
}
