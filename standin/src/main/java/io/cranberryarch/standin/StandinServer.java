package io.cranberryarch.standin;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An HTTP server on the loopback address with one handler. */
final class StandinServer implements AutoCloseable {

    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 4;

    private final Server server;
    private final ServerConnector connector;

    StandinServer(int port, Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setDaemon(true);
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(handler);
    }

    void start() throws Exception {
        server.start();
    }

    int getPort() {
        return connector.getLocalPort();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
