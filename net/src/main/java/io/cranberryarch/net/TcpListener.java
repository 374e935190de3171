package io.cranberryarch.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/** A listening socket on an event loop. */
public final class TcpListener implements EventLoop.Selectable, AutoCloseable {

    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final TcpConnection.HandlerFactory factory;

    private TcpListener(EventLoop loop, ServerSocketChannel channel, TcpConnection.HandlerFactory factory) {
        this.loop = loop;
        this.channel = channel;
        this.factory = factory;
    }

    /**
     * Binds an address and accepts connections. Must be called before the loop runs or from its thread.
     *
     * @param loop the loop, not {@code null}
     * @param address the address; port 0 selects an ephemeral port
     * @param factory creates the handler of each connection, not {@code null}
     * @return the listener
     * @throws IOException if the address cannot be bound
     */
    public static TcpListener bind(EventLoop loop, InetSocketAddress address, TcpConnection.HandlerFactory factory)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, BACKLOG);
            TcpListener listener = new TcpListener(loop, channel, factory);
            channel.register(loop.getSelector(), SelectionKey.OP_ACCEPT, listener);
            return listener;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Returns the bound address.
     *
     * @return the address and port
     * @throws IOException if the listener is closed
     */
    public InetSocketAddress getAddress() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    @Override
    public void onReady() {
        try {
            for (SocketChannel accepted = channel.accept(); accepted != null; accepted = channel.accept()) {
                TcpConnection.ofAccepted(loop, accepted, factory);
            }
        } catch (IOException e) {
            Logger.warn("event=accept-failed cause=\"{}\"", e.getMessage());
        }
    }

    /** Stops accepting connections. Established connections stay open. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}
