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
 * HttpServer server = HttpServer.bind(loop, address, () -&gt; HttpLimits.DEFAULT, exchange -&gt; answer(exchange));
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
     * Binds an address, before the loop runs or from its thread.
     *
     * @param loop the loop, not {@code null}
     * @param address the address; port 0 lets the system choose
     * @param limits the limits in force
     * @param handler handles requests
     * @param malformedHandler answers requests that cannot be read
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
            HttpServerConnection created = new HttpServerConnection(loop, connection, server, limits);
            server.connections.add(created);
            return created;
        });
        loop.scheduleWithFixedDelay(IDLE_CHECK_INTERVAL_MS, server::closeIdle);
        return server;
    }

    /**
     * Gets the bound address.
     *
     * @return the address with its port
     * @throws IOException if the server is closed
     */
    public InetSocketAddress getAddress() throws IOException {
        return listener.getAddress();
    }

    /**
     * Counts the connections that wait for a response.
     *
     * @return the number of connections
     */
    public int countBusy() {
        int busy = 0;
        for (HttpServerConnection connection : connections) {
            if (connection.hasExchanges()) {
                busy++;
            }
        }
        return busy;
    }

    /** Closes idle connections, and the others once they have sent the responses that are due. */
    public void closeConnectionsGracefully() {
        for (HttpServerConnection connection : new ArrayList<>(connections)) {
            connection.closeGracefully();
        }
    }

    /** Stops accepting connections; open ones stay. */
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

    private void closeIdle() {
        for (HttpServerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle();
        }
    }

    /** Handles requests. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request; the response may be given later.
         *
         * @param exchange the request
         */
        void onRequest(HttpExchange exchange);
    }

    /** Answers requests that cannot be read. */
    @FunctionalInterface
    public interface MalformedRequestHandler {

        /**
         * Makes the response.
         *
         * @param status the status
         * @param cause what is wrong with the request
         * @return the response, after which the connection is closed
         */
        HttpResponseMessage toResponse(int status, String cause);
    }
}
