package io.cranberryarch.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * An HTTP/1.1 server on an event loop.
 *
 * <pre>
 * HttpServer server = HttpServer.bind(
 *         loop,
 *         address,
 *         () -&gt; HttpLimits.DEFAULT,
 *         exchange -&gt; exchange.respond(HttpResponseMessage.ofEmpty(204)),
 *         (status, cause) -&gt; HttpResponseMessage.ofEmpty(status));
 * </pre>
 */
public final class HttpServer implements AutoCloseable {

    private static final long IDLE_CHECK_INTERVAL_MS = 1_000;

    private final Handler handler;
    private final MalformedRequestHandler malformedHandler;
    private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
    private TcpListener listener;

    private HttpServer(Handler handler, MalformedRequestHandler malformedHandler) {
        this.handler = handler;
        this.malformedHandler = malformedHandler;
    }

    /**
     * Binds an address and accepts connections. Must be called before the loop runs or from its thread.
     *
     * @param loop the loop, not {@code null}
     * @param address the address; port 0 selects an ephemeral port
     * @param limits supplies the current limits, not {@code null}
     * @param handler handles requests, not {@code null}
     * @param malformedHandler creates the responses to malformed requests, not {@code null}
     * @return the server
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer bind(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            Handler handler,
            MalformedRequestHandler malformedHandler)
            throws IOException {
        HttpServer server = new HttpServer(handler, malformedHandler);
        server.listener = TcpListener.bind(loop, address, connection -> {
            HttpServerConnection serverConnection = new HttpServerConnection(loop, connection, server, limits);
            server.connections.add(serverConnection);
            return serverConnection;
        });
        loop.scheduleWithFixedDelay(IDLE_CHECK_INTERVAL_MS, server::closeIdleConnections);
        return server;
    }

    /**
     * Returns the bound address.
     *
     * @return the address and port
     * @throws IOException if the server is closed
     */
    public InetSocketAddress getAddress() throws IOException {
        return listener.getAddress();
    }

    /**
     * Counts the connections with a request that has not been answered.
     *
     * @return the number of connections
     */
    public int countBusyConnections() {
        int busy = 0;
        for (HttpServerConnection connection : connections) {
            if (connection.hasExchanges()) {
                busy++;
            }
        }
        return busy;
    }

    /**
     * Returns whether responses have not been sent completely, as their clients read slowly.
     *
     * @return {@code true} if any connection has bytes to send
     */
    public boolean hasUnsentBytes() {
        for (HttpServerConnection connection : connections) {
            if (connection.hasUnsentBytes()) {
                return true;
            }
        }
        return false;
    }

    /** Closes idle connections at once, and the others after their pending responses have been sent. */
    public void closeConnectionsGracefully() {
        for (HttpServerConnection connection : new ArrayList<>(connections)) {
            connection.closeGracefully();
        }
    }

    /** Stops accepting connections. Established connections stay open. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            Logger.warn("event=listener-close-failed cause=\"{}\"", e.getMessage());
        }
    }

    Handler getHandler() {
        return handler;
    }

    HttpResponseMessage toMalformedResponse(int status, String cause) {
        return malformedHandler.toResponse(status, cause);
    }

    void remove(HttpServerConnection connection) {
        connections.remove(connection);
    }

    private void closeIdleConnections() {
        for (HttpServerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle();
        }
    }

    /** Handles requests. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request. The response may be sent after this call returns.
         *
         * @param exchange the request, which accepts the response
         */
        void onRequest(HttpExchange exchange);
    }

    /** Creates the responses to malformed requests. */
    @FunctionalInterface
    public interface MalformedRequestHandler {

        /**
         * Creates the response to a malformed request.
         *
         * @param status the HTTP status code of the response
         * @param cause the reason for the rejection, for the log
         * @return the response, after which the connection is closed
         */
        HttpResponseMessage toResponse(int status, String cause);
    }
}
