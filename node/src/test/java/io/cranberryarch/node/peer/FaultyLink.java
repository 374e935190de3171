package io.cranberryarch.node.peer;

import io.cranberryarch.base.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Forwards TCP connections to a target. The existing connections can be made silent permanently. */
final class FaultyLink implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 * 1024;

    private final InetSocketAddress target;
    private final Closer closer = new Closer();
    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Forwarder> forwarders = new CopyOnWriteArrayList<>();

    FaultyLink(int targetPort) throws IOException {
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        closer.add(threads::shutdownNow);
        server = closer.add(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        threads.execute(this::accept);
    }

    InetSocketAddress getAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    int getConnectionCount() {
        return forwarders.size() / 2;
    }

    /** Drops all further bytes on the existing connections without closing them. */
    void silence() {
        forwarders.forEach(forwarder -> forwarder.isSilent = true);
    }

    @Override
    public void close() throws Exception {
        closer.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket source = closer.add(server.accept());
                Socket destination = closer.add(new Socket(target.getAddress(), target.getPort()));
                List<Forwarder> pair = List.of(new Forwarder(source, destination), new Forwarder(destination, source));
                forwarders.addAll(pair);
                pair.forEach(threads::execute);
            }
        } catch (IOException e) {
            // The link was closed.
        }
    }

    /** One direction of a connection. */
    private static final class Forwarder implements Runnable {
        private final Socket from;
        private final Socket to;
        private volatile boolean isSilent;

        Forwarder(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public void run() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                for (int count = from.getInputStream().read(buffer);
                        count >= 0;
                        count = from.getInputStream().read(buffer)) {
                    if (!isSilent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (!isSilent) {
                    to.shutdownOutput();
                }
            } catch (IOException e) {
                // One end was closed.
            }
        }
    }
}
