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
 * Accepts connections of callers until it is stopped. The accepting thread then accepts the connections that remain in
 * the backlog and closes the port itself, so that none of them is reset.
 */
final class EntryConnector extends ServerConnector {

    /** The interval at which the accepting thread checks for a stop; it delays a stop by at most this time. */
    private static final int ACCEPT_TIMEOUT_MS = 100;

    /** The limit of connections accepted after a stop, well above the backlog, so that a flood cannot delay it. */
    private static final int MAX_BACKLOG_CONNECTIONS = 1_000;

    private static final long STOP_TIMEOUT_MS = 2_000;

    /** The time that a stop waits for the first request on a new connection; callers send it on connecting. */
    private static final long FIRST_REQUEST_TIMEOUT_MS = 1_000;

    private final AtomicInteger openingCount = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopping;
    private volatile long acceptedAtMs;

    EntryConnector(Server server, HttpConnectionFactory http) {
        super(server, 1, 1, http);
    }

    /** Accepts the connections that remain in the backlog, then closes the port. */
    void stopAccepting() throws InterruptedException {
        stopping = true;
        if (!closed.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            close();
        }
    }

    /**
     * Checks whether the first request of a new connection is still expected.
     *
     * @return whether a request is expected; {@code false} for connections that remain idle longer
     */
    boolean isAwaitingRequests() {
        // Jetty uses the wall clock for the creation time of connections.
        long nowMs = System.currentTimeMillis();
        if (openingCount.get() > 0 && nowMs - acceptedAtMs < FIRST_REQUEST_TIMEOUT_MS) {
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
        openingCount.decrementAndGet();
    }

    @Override
    public void accept(int acceptorId) throws IOException {
        ServerSocketChannel listener = (ServerSocketChannel) getTransport();
        if (listener == null || !listener.isOpen()) {
            // Jetty continues to call this method until the server stops.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ACCEPT_TIMEOUT_MS));
            return;
        }
        if (stopping) {
            acceptBacklog(listener);
            close();
            closed.countDown();
            return;
        }
        listener.socket().setSoTimeout(ACCEPT_TIMEOUT_MS);
        try {
            addConnection(listener.socket().accept().getChannel());
        } catch (SocketTimeoutException e) {
            // No connection arrived within the timeout; Jetty calls this method again.
            return;
        }
    }

    private void acceptBacklog(ServerSocketChannel listener) throws IOException {
        listener.configureBlocking(false);
        for (int i = 0; i < MAX_BACKLOG_CONNECTIONS; i++) {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return;
            }
            addConnection(channel);
        }
    }

    private void addConnection(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        configure(channel.socket());
        acceptedAtMs = System.currentTimeMillis();
        openingCount.incrementAndGet();
        getSelectorManager().accept(channel);
    }
}
