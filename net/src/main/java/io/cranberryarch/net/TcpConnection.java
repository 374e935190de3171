package io.cranberryarch.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.tinylog.Logger;

/** A TCP connection on an event loop. Used from the loop's thread only. */
public final class TcpConnection implements EventLoop.Selectable {

    private static final int MAX_BUFFERS_PER_WRITE = 64;
    private static final int MAX_READS_PER_ITERATION = 4;

    /** Time for which bytes of the peer are discarded after the output was shut down, until it closes its side. */
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final Handler handler;
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private SelectionKey key;
    private long unsentBytes;
    private boolean isFlushPending;
    private boolean isClosingAfterFlush;
    private boolean isAwaitingPeerClose;
    private boolean isReading = true;
    private boolean isConnected;
    private boolean isClosed;

    private TcpConnection(EventLoop loop, SocketChannel channel, Handler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    /**
     * Starts a connection attempt. The handler is notified of the outcome, never from within this call.
     *
     * @param loop the loop, not {@code null}
     * @param address the address of the peer
     * @param handler receives the events of the connection, not {@code null}
     * @return the connection
     */
    public static TcpConnection connect(EventLoop loop, InetSocketAddress address, Handler handler) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            TcpConnection connection = new TcpConnection(loop, channel, handler);
            channel.connect(address);
            connection.key = channel.register(loop.getSelector(), SelectionKey.OP_CONNECT, connection);
            return connection;
        } catch (IOException e) {
            TcpConnection connection = new TcpConnection(loop, channel, handler);
            loop.execute(() -> connection.close(Optional.of(e)));
            return connection;
        }
    }

    static TcpConnection ofAccepted(EventLoop loop, SocketChannel channel, HandlerFactory factory) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        DelegatingHandler handler = new DelegatingHandler();
        TcpConnection connection = new TcpConnection(loop, channel, handler);
        connection.isConnected = true;
        connection.key = channel.register(loop.getSelector(), SelectionKey.OP_READ, connection);
        handler.target = factory.create(connection);
        return connection;
    }

    /**
     * Writes bytes at the end of the current iteration of the loop. Does nothing once the connection is closed or
     * {@link #closeAfterFlush} or {@link #shutdownAfterFlush} was called.
     *
     * @param bytes the bytes, which the caller must not change afterwards
     */
    public void write(ByteBuffer bytes) {
        if (isClosed || isClosingAfterFlush) {
            return;
        }
        unsent.add(bytes);
        unsentBytes += bytes.remaining();
        if (isConnected && !isFlushPending) {
            isFlushPending = true;
            loop.scheduleFlush(this);
        }
    }

    /**
     * Returns the address of the peer.
     *
     * @return the address, or empty if the connection is not yet established or is closed
     */
    public Optional<InetAddress> getRemoteAddress() {
        return Optional.ofNullable(channel.socket().getInetAddress());
    }

    /**
     * Returns whether the peer runs on this host.
     *
     * @return {@code true} if the address of the peer is a loopback address or equals the local one
     */
    public boolean isFromLocalHost() {
        InetAddress remote = channel.socket().getInetAddress();
        return remote != null
                && (remote.isLoopbackAddress() || remote.equals(channel.socket().getLocalAddress()));
    }

    /**
     * Returns the number of bytes that have been written but not sent.
     *
     * @return the number of bytes
     */
    public long getUnsentBytes() {
        return unsentBytes;
    }

    /** Closes the connection once all written bytes are sent. Bytes received until then are discarded. */
    public void closeAfterFlush() {
        if (isClosed) {
            return;
        }
        isClosingAfterFlush = true;
        if (unsent.isEmpty()) {
            closeFlushed();
        }
    }

    /**
     * Shuts down the output once all written bytes are sent, and closes the connection once the peer has closed it or
     * a timeout has expired. Bytes received until then are discarded: closing a connection with unread bytes would
     * reset it, and the peer could lose what it has not read yet.
     */
    public void shutdownAfterFlush() {
        isAwaitingPeerClose = true;
        closeAfterFlush();
    }

    /** Closes the connection at once, without sending the remaining bytes, and notifies the handler. */
    public void close() {
        close(Optional.empty());
    }

    /**
     * Returns whether the connection is closed.
     *
     * @return {@code true} if it is closed
     */
    public boolean isClosed() {
        return isClosed;
    }

    /**
     * Stops or resumes reading.
     *
     * @param reading {@code true} to read, {@code false} to stop reading
     */
    public void setReading(boolean reading) {
        if (isClosed || isReading == reading) {
            return;
        }
        isReading = reading;
        updateInterest();
    }

    @Override
    public void onReady() {
        if (!key.isValid()) {
            return;
        }
        if (key.isConnectable()) {
            finishConnect();
        } else {
            if (key.isReadable()) {
                read();
            }
            if (!isClosed && key.isWritable()) {
                flush();
            }
        }
    }

    void flush() {
        isFlushPending = false;
        if (isClosed) {
            return;
        }
        try {
            while (!unsent.isEmpty()) {
                if (unsent.size() == 1) {
                    channel.write(unsent.peek());
                } else {
                    channel.write(unsent.toArray(new ByteBuffer[0]), 0, Math.min(unsent.size(), MAX_BUFFERS_PER_WRITE));
                }
                boolean isAnyBufferSent = false;
                while (!unsent.isEmpty() && !unsent.peek().hasRemaining()) {
                    unsent.poll();
                    isAnyBufferSent = true;
                }
                if (!isAnyBufferSent || (!unsent.isEmpty() && unsent.peek().position() > 0)) {
                    break;
                }
            }
        } catch (IOException e) {
            close(Optional.of(e));
            return;
        }
        updateUnsentBytes();
        if (unsent.isEmpty() && isClosingAfterFlush) {
            closeFlushed();
            return;
        }
        updateInterest();
    }

    private void closeFlushed() {
        if (!isAwaitingPeerClose || !isConnected) {
            close();
            return;
        }
        if (channel.socket().isOutputShutdown()) {
            return;
        }
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close(Optional.of(e));
            return;
        }
        isReading = true;
        updateInterest();
        loop.schedule(SHUTDOWN_TIMEOUT_MS, this::close);
    }

    private void updateUnsentBytes() {
        unsentBytes = 0;
        for (ByteBuffer buffer : unsent) {
            unsentBytes += buffer.remaining();
        }
    }

    private void finishConnect() {
        try {
            channel.finishConnect();
        } catch (IOException e) {
            close(Optional.of(e));
            return;
        }
        isConnected = true;
        updateInterest();
        handler.onConnected();
        if (!unsent.isEmpty()) {
            flush();
        }
    }

    private void read() {
        ByteBuffer buffer = loop.getReadBuffer();
        for (int i = 0; i < MAX_READS_PER_ITERATION && !isClosed && isReading; i++) {
            buffer.clear();
            int count;
            try {
                count = channel.read(buffer);
            } catch (IOException e) {
                close(Optional.of(e));
                return;
            }
            if (count < 0) {
                handler.onEndOfStream();
                close();
                return;
            }
            if (count == 0) {
                return;
            }
            buffer.flip();
            if (!isClosingAfterFlush) {
                handler.onData(buffer);
            }
            if (count < buffer.capacity()) {
                return;
            }
        }
    }

    private void updateInterest() {
        if (!isConnected || !key.isValid()) {
            return;
        }
        int interest = (isReading ? SelectionKey.OP_READ : 0) | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE);
        if (key.interestOps() != interest) {
            key.interestOps(interest);
        }
    }

    private void close(Optional<IOException> failure) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        unsent.clear();
        unsentBytes = 0;
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                Logger.debug(e, "event=close-failed");
            }
        }
        handler.onClosed(failure);
    }

    /** Receives the events of a connection. */
    public interface Handler {

        /** Handles that a connection attempt has succeeded. Not called for accepted connections. */
        default void onConnected() {}

        /**
         * Handles received bytes.
         *
         * @param bytes the bytes, valid during the call only
         */
        void onData(ByteBuffer bytes);

        /** Handles that the peer has ended its stream. The connection is closed after this call. */
        default void onEndOfStream() {}

        /**
         * Handles that the connection was closed by either side.
         *
         * @param failure the failure, or empty if the connection was closed without one
         */
        void onClosed(Optional<IOException> failure);
    }

    /** Creates the handlers of accepted connections. */
    @FunctionalInterface
    public interface HandlerFactory {

        /**
         * Creates a handler.
         *
         * @param connection the accepted connection
         * @return its handler
         */
        Handler create(TcpConnection connection);
    }

    /** Forwards events to a handler that is created after the connection. */
    private static final class DelegatingHandler implements Handler {

        private Handler target;

        @Override
        public void onData(ByteBuffer bytes) {
            target.onData(bytes);
        }

        @Override
        public void onEndOfStream() {
            target.onEndOfStream();
        }

        @Override
        public void onClosed(Optional<IOException> failure) {
            target.onClosed(failure);
        }
    }
}
