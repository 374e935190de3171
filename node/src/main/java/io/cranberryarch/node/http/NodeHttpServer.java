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

/** The HTTP server with one port for each face of the node. */
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
    private final FaceHandler faces;

    /**
     * Creates a server that is not started.
     *
     * @param config addresses and ports
     * @param entryHandler takes callers' requests
     * @param localHandler takes the upstream's requests
     * @param adminHandler takes operators' requests
     */
    public NodeHttpServer(NodeConfig config, Handler entryHandler, Handler localHandler, Handler adminHandler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        server = new Server(threads);
        entry = new EntryConnector(server, toHttp());
        addConnector(entry, ENTRY, config.host(), config.entryPort());
        local = new ServerConnector(server, 1, 1, toHttp());
        addConnector(local, LOCAL, config.host(), config.localPort());
        admin = new ServerConnector(server, 1, 1, toHttp());
        addConnector(admin, ADMIN, config.host(), config.adminPort());
        faces = new FaceHandler(Map.of(ENTRY, entryHandler, LOCAL, localHandler, ADMIN, adminHandler));
        server.setHandler(faces);
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

    /** Closes the connection of each caller after its next answer. */
    public void closeConnectionsAfterResponses() {
        faces.closing = true;
    }

    /**
     * Takes no new connections of callers, but those that are established already.
     *
     * @throws InterruptedException if the thread is interrupted before the port is closed
     */
    public void stopAccepting() throws InterruptedException {
        entry.stopAccepting();
    }

    /**
     * Tells whether a connection of a caller has not brought its first request yet.
     *
     * @return whether a request is likely on its way; false for connections that stay silent
     */
    public boolean isAwaitingRequests() {
        return entry.isAwaitingRequests();
    }

    /** Refuses further requests of callers on open connections. */
    public void refuseNewRequests() {
        faces.refusing = true;
    }

    /**
     * Counts the requests of callers and of the upstream in progress.
     *
     * @return the number of requests that were not answered whole
     */
    public int getInProgress() {
        return faces.inProgress.get();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    private static HttpConnectionFactory toHttp() {
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

    /** Passes each request to the handler of its port. */
    private static final class FaceHandler extends Handler.Abstract.NonBlocking {

        private final Map<String, Handler> handlers;
        private final AtomicInteger inProgress = new AtomicInteger();
        private volatile boolean closing;
        private volatile boolean refusing;

        FaceHandler(Map<String, Handler> handlers) {
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
            if (closing && name.equals(ENTRY)) {
                response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
            }
            if (refusing && name.equals(ENTRY)) {
                Refusal refusal = Refusal.ofNotRun(RefusalReason.DRAINING, RETRY_AFTER_MS);
                boolean isTrue = HttpRequests.isFirstAttempt(request)
                        || !request.getHeaders().contains(RequestHeaders.IDEMPOTENCY_KEY);
                HttpResponses.writeRefusal(response, callback, isTrue ? refusal : refusal.toUnknown(), "");
                return true;
            }
            return handlers.get(name).handle(request, response, callback);
        }
    }
}
