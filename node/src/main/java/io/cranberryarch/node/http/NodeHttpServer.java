package io.cranberryarch.node.http;

import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.settings.NodeConfig;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server of a node, with separate ports for callers, the upstream and operators. */
public final class NodeHttpServer implements AutoCloseable {

    private static final String ENTRY = "entry";
    private static final String LOCAL = "local";
    private static final String ADMIN = "admin";
    private static final long RETRY_AFTER_MS = 1_000;

    private static final int MAX_THREADS = 32;
    private static final int MIN_THREADS = 4;

    private final Server server;
    private final EntryConnector entry;
    private final ServerConnector local;
    private final ServerConnector admin;
    private final PortDispatcher dispatcher;

    /**
     * Creates a server that is not started.
     *
     * @param config the configuration, which provides the host and the ports
     * @param entryHandler handles the requests of callers
     * @param localHandler handles the requests of the upstream
     * @param adminHandler handles the requests of operators
     */
    public NodeHttpServer(NodeConfig config, Handler entryHandler, Handler localHandler, Handler adminHandler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        server = new Server(threads);
        entry = new EntryConnector(server, createConnectionFactory());
        addConnector(entry, ENTRY, config.host(), config.entryPort());
        local = new ServerConnector(server, 1, 1, createConnectionFactory());
        addConnector(local, LOCAL, config.host(), config.localPort());
        admin = new ServerConnector(server, 1, 1, createConnectionFactory());
        addConnector(admin, ADMIN, config.host(), config.adminPort());
        dispatcher = new PortDispatcher(Map.of(ENTRY, entryHandler, LOCAL, localHandler, ADMIN, adminHandler));
        server.setHandler(dispatcher);
    }

    /**
     * Starts the server.
     *
     * @throws Exception if a port cannot be bound
     */
    public void start() throws Exception {
        server.start();
    }

    /**
     * Gets the port for callers.
     *
     * @return the bound port
     */
    public int getEntryPort() {
        return entry.getLocalPort();
    }

    /**
     * Gets the port for the upstream.
     *
     * @return the bound port
     */
    public int getLocalPort() {
        return local.getLocalPort();
    }

    /**
     * Gets the port for operators.
     *
     * @return the bound port
     */
    public int getAdminPort() {
        return admin.getLocalPort();
    }

    /** Closes the connection of each caller after its next response. */
    public void closeConnectionsAfterResponses() {
        dispatcher.isClosing = true;
    }

    /**
     * Stops accepting connections of callers, once those that are already established have been accepted.
     *
     * @throws InterruptedException if the thread is interrupted before the port is closed
     */
    public void stopAccepting() throws InterruptedException {
        entry.stopAccepting();
    }

    /**
     * Checks whether the first request of a caller's new connection is still expected.
     *
     * @return whether a request is expected; {@code false} for connections that remain idle longer
     */
    public boolean isAwaitingRequests() {
        return entry.isAwaitingRequests();
    }

    /** Refuses further requests of callers on open connections. */
    public void refuseNewRequests() {
        dispatcher.isRefusing = true;
    }

    /**
     * Counts the requests of callers and of the upstream in progress.
     *
     * @return the number of requests whose responses are not complete
     */
    public int getInProgress() {
        return dispatcher.inProgress.get();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    private static HttpConnectionFactory createConnectionFactory() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        return new HttpConnectionFactory(http);
    }

    private void addConnector(ServerConnector connector, String name, String host, int port) {
        connector.setName(name);
        connector.setHost(host);
        connector.setPort(port);
        server.addConnector(connector);
    }

    /** Dispatches each request to the handler of its port. */
    private static final class PortDispatcher extends Handler.Abstract.NonBlocking {

        private final Map<String, Handler> handlers;
        private final AtomicInteger inProgress = new AtomicInteger();
        private volatile boolean isClosing;
        private volatile boolean isRefusing;

        PortDispatcher(Map<String, Handler> handlers) {
            this.handlers = Map.copyOf(handlers);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String name = request.getConnectionMetaData().getConnector().getName();
            if (name.equals(ADMIN)) {
                return handlers.get(name).handle(request, response, callback);
            }
            inProgress.incrementAndGet();
            Request.addCompletionListener(request, failure -> inProgress.decrementAndGet());
            if (isClosing && name.equals(ENTRY)) {
                response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
            }
            if (isRefusing && name.equals(ENTRY)) {
                Refusal refusal = Refusal.ofNotRun(RefusalReason.DRAINING, RETRY_AFTER_MS);
                boolean isNotRun = HttpRequests.isFirstAttempt(request)
                        || !request.getHeaders().contains(RequestHeaders.IDEMPOTENCY_KEY);
                HttpResponses.writeRefusal(response, callback, isNotRun ? refusal : refusal.toUnknown(), "");
                return true;
            }
            return handlers.get(name).handle(request, response, callback);
        }
    }
}
