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

/** Forwards TCP connections to a target. Connections opened so far can be made silent for good, or cut. */
final class FaultyLink implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 * 1024;

    private final InetSocketAddress target;
    private final Closer closer = new Closer();
    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    FaultyLink(int targetPort) throws IOException {
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        closer.add(threads::shutdownNow);
        server = closer.add(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        threads.execute(this::accept);
    }

    InetSocketAddress getAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    int getConnections() {
        return pipes.size() / 2;
    }

    /** Drops all further bytes of the connections opened so far, without closing them. */
    void silence() {
        pipes.forEach(pipe -> pipe.silent = true);
    }

    @Override
    public void close() throws Exception {
        closer.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = closer.add(server.accept());
                Socket far = closer.add(new Socket(target.getAddress(), target.getPort()));
                List<Pipe> pair = List.of(new Pipe(near, far), new Pipe(far, near));
                pipes.addAll(pair);
                pair.forEach(threads::execute);
            }
        } catch (IOException e) {
            // The link was closed.
        }
    }

    /** One direction of a connection. */
    private static final class Pipe implements Runnable {
        private final Socket from;
        private final Socket to;
        private volatile boolean silent;

        Pipe(Socket from, Socket to) {
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
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (!silent) {
                    to.shutdownOutput();
                }
            } catch (IOException e) {
                // One end was closed.
            }
        }
    }
}
