package io.cranberryarch.app.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes TCP connections on, and can delay, silence and reset them. */
final class FaultProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long POLL_MS = 10;

    /** What happens to the bytes of all connections. */
    enum Mode {
        /** Bytes are passed on at once. */
        PASS(true, true, 0),
        /** Bytes are passed on late. */
        DELAY(true, true, 150),
        /** Nothing is passed on, and connections stay open. */
        STALLED(false, false, 0),
        /** Only what the caller sends is passed on. */
        NO_RESPONSES(true, false, 0);

        private final boolean isRequestForwarded;
        private final boolean isResponseForwarded;
        private final long delayMs;

        Mode(boolean isRequestForwarded, boolean isResponseForwarded, long delayMs) {
            this.isRequestForwarded = isRequestForwarded;
            this.isResponseForwarded = isResponseForwarded;
            this.delayMs = delayMs;
        }

        private boolean isForwarding(boolean isToTarget) {
            return isToTarget ? isRequestForwarded : isResponseForwarded;
        }
    }

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    FaultProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    String getAddress() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Resets all connections that are open now. */
    void resetAll() {
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already by its peer, which is as good.
            }
            closeQuietly(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                open.add(caller);
                start(() -> connect(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket caller) {
        Socket server = new Socket();
        open.add(server);
        try {
            server.connect(target);
            start(() -> copy(caller, server, true));
            copy(server, caller, false);
        } catch (IOException e) {
            closeQuietly(caller);
        }
    }

    private void copy(Socket from, Socket to, boolean isToTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                while (!mode.isForwarding(isToTarget)) {
                    Thread.sleep(POLL_MS);
                }
                Thread.sleep(mode.delayMs);
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // The end of one direction is the end of both.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private void closeQuietly(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to be closed.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
