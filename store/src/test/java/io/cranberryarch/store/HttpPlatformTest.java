package io.cranberryarch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlatformTest {

    private static final String NO_ROWS = "{\"rows\":[]}";

    private final HttpClient client = new HttpClient();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private ServerSocket server;
    private HttpPlatform platform;

    @BeforeEach
    void start() throws Exception {
        client.start();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        platform = new HttpPlatform(client, URI.create("http://127.0.0.1:" + server.getLocalPort()), 10_000);
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        server.close();
    }

    /** Answers the first request of each connection, and closes the connection after reading the second. */
    private void serve() {
        try {
            while (!server.isClosed()) {
                try (Socket connection = server.accept()) {
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                    received.add(readHead(in));
                    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + NO_ROWS.length() + "\r\n\r\n" + NO_ROWS;
                    connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                    received.add(readHead(in));
                }
            }
        } catch (IOException e) {
            // The test closed the server socket.
        }
    }

    private static String readHead(BufferedReader in) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            lines.add(line);
        }
        return lines.isEmpty() ? "" : lines.get(0);
    }

    @Test
    void readIsResentOnceIfItsConnectionWasClosed() throws Exception {
        assertEquals(List.of(), platform.list("a", "", 10));
        assertEquals(List.of(), platform.list("b", "", 10));
        assertEquals(3, received.size());
    }

    @Test
    void writeWhoseConnectionWasClosedMayHaveTakenEffectAndIsNotResent() throws Exception {
        assertEquals(List.of(), platform.list("a", "", 10));
        assertThrows(PlatformException.class, () -> platform.put("b", new byte[0]));
        assertEquals(2, received.size());
    }
}
