package io.cranberryarch.node.http;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts callers until told to stop. The thread that accepts then takes the connections that are established already,
 * and closes the port itself, so that none of them is reset.
 */
final class EntryConnector extends ServerConnector {

    /** How often the accepting thread looks whether it should stop; a stop waits that much longer at most. */
    private static final int ACCEPT_TIMEOUT_MS = 100;

    /** Connections taken after the stop began, well above the backlog, so that a flood does not hold the stop up. */
    private static final int MAX_LAST_CONNECTIONS = 1_000;

    private static final long STOP_TIMEOUT_MS = 2_000;

    /** How long a stop waits for the first request of a new connection; a caller sends it with the connection. */
    private static final long FIRST_REQUEST_TIMEOUT_MS = 1_000;

    private final AtomicInteger opening = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopping;
    private volatile long acceptedAtMs;

    EntryConnector(Server server, HttpConnectionFactory http) {
        super(server, 1, 1, http);
    }

    /** Takes no new connections any more, once those that are established are taken. */
    void stopAccepting() throws InterruptedException {
        stopping = true;
        if (!closed.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            close();
        }
    }

    /**
     * Tells whether a connection has not brought its first request yet.
     *
     * @return whether a request is likely on its way; false for connections that stay silent
     */
    boolean isAwaitingRequests() {
        // The wall clock, as Jetty stamps connections with it.
        long nowMs = System.currentTimeMillis();
        if (opening.get() > 0 && nowMs - acceptedAtMs < FIRST_REQUEST_TIMEOUT_MS) {
            return true;
        }
        for (EndPoint endPoint : getConnectedEndPoints()) {
            boolean isNew = nowMs - endPoint.getCreatedTimeStamp() < FIRST_REQUEST_TIMEOUT_MS;
            Connection connection = endPoint.getConnection();
            if (isNew && (connection == null || connection.getMessagesIn() == 0)) {
                return true;
            }
        }
        return false;
    }

    @Override
    protected void onEndPointOpened(EndPoint endPoint) {
        super.onEndPointOpened(endPoint);
        opening.decrementAndGet();
    }

    @Override
    public void accept(int acceptorId) throws IOException {
        ServerSocketChannel listener = (ServerSocketChannel) getTransport();
        if (listener == null || !listener.isOpen()) {
            // Jetty goes on to call this until the server stops.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ACCEPT_TIMEOUT_MS));
            return;
        }
        if (stopping) {
            acceptLast(listener);
            close();
            closed.countDown();
            return;
        }
        listener.socket().setSoTimeout(ACCEPT_TIMEOUT_MS);
        try {
            adopt(listener.socket().accept().getChannel());
        } catch (SocketTimeoutException e) {
            // Nobody came.
            return;
        }
    }

    private void acceptLast(ServerSocketChannel listener) throws IOException {
        listener.configureBlocking(false);
        for (int i = 0; i < MAX_LAST_CONNECTIONS; i++) {
            SocketChannel last = listener.accept();
            if (last == null) {
                return;
            }
            adopt(last);
        }
    }

    private void adopt(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        configure(channel.socket());
        acceptedAtMs = System.currentTimeMillis();
        opening.incrementAndGet();
        getSelectorManager().accept(channel);
    }
}
