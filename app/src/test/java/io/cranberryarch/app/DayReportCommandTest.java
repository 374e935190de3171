package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.counts.Increment;
import io.cranberryarch.operator.ExitCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The page about a day, read from a store that speaks the platform's protocol. */
class DayReportCommandTest {

    private static final long START_MS = Instant.parse("2026-12-03T10:00:00Z").toEpochMilli();
    private static final long END_MS = Instant.parse("2026-12-03T10:05:00Z").toEpochMilli();
    private static final String INCREMENT_NAME = "counts~2026-12-03~10~node-a~1~0";

    @TempDir
    Path folder;

    private final Map<String, byte[]> objects = new ConcurrentSkipListMap<>();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream originalOut = System.out;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::handle);
        server.start();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() {
        System.setOut(originalOut);
        server.stop(0);
    }

    @Test
    void pageShowsTheVerdictForEachAccountAndKind() throws Exception {
        put(INCREMENT_NAME, Outcome.OK, 1_000, true);
        Path html = folder.resolve("page.html");
        assertEquals(ExitCodes.OK, run("--day", "2026-12-03", "--html", html.toString()));
        assertTrue(outputText().contains("The day went WELL for all 1 accounts and kinds."), outputText());
        assertTrue(outputText().contains("ana / order"), outputText());
        assertTrue(Files.readString(html).contains("Report of 2026-12-03"), outputText());
        assertEquals(1, objects.size());
    }

    @Test
    void countsWithoutALastIncrementAreReportedAsIncomplete() throws Exception {
        put(INCREMENT_NAME, Outcome.OK, 1_000, false);
        assertEquals(ExitCodes.OK, run("--day", "2026-12-03"));
        assertTrue(outputText().contains("INCOMPLETE"), outputText());
    }

    @Test
    void countsAreDeletedOnlyWithTheDeleteOption() throws Exception {
        put(INCREMENT_NAME, Outcome.SHED, 10, true);
        assertEquals(ExitCodes.OK, run("--day", "2026-12-03", "--delete"));
        assertTrue(outputText().contains("NOT go WELL"), outputText());
        assertEquals(Map.of(), new TreeMap<>(objects));
    }

    @Test
    void unreachableStoreFailsTheCommand() {
        server.stop(0);
        assertEquals(ExitCodes.REFUSED, run("--day", "2026-12-03"));
    }

    @Test
    void invalidAddressIsAUsageError() {
        assertEquals(ExitCodes.USAGE, Main.run("day-report", "--store", "nowhere"));
    }

    private int run(String... options) {
        String address = "127.0.0.1:" + server.getAddress().getPort();
        String[] arguments = new String[options.length + 3];
        arguments[0] = "day-report";
        arguments[1] = "--store";
        arguments[2] = address;
        System.arraycopy(options, 0, arguments, 3, options.length);
        return Main.run(arguments);
    }

    private String outputText() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private void put(String id, Outcome outcome, long count, boolean isLast) {
        List<Increment.Row> rows = List.of(new Increment.Row(START_MS / 60_000, "ana", "order", outcome, count));
        Increment increment = new Increment("node-a", 1, 0, "zone-a", START_MS, END_MS, true, isLast, 0, rows);
        objects.put(id, increment.toBytes());
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String id = path.substring(path.lastIndexOf('/') + 1);
        byte[] body = new byte[0];
        if (path.equals("/blob-list")) {
            String prefix = exchange.getRequestURI().getQuery().replaceFirst("^prefix=", "");
            body = ("{\"names\":["
                            + objects.keySet().stream()
                                    .filter(name -> name.startsWith(prefix))
                                    .map(name -> '"' + name + '"')
                                    .collect(Collectors.joining(","))
                            + "],\"hasMore\":false}")
                    .getBytes(StandardCharsets.UTF_8);
        } else if (path.startsWith("/rows-get")) {
            body = "{\"rows\":[],\"schemaVer\":1}".getBytes(StandardCharsets.UTF_8);
        } else if (exchange.getRequestMethod().equals("DELETE")) {
            objects.remove(id);
        } else {
            body = objects.get(id);
        }
        exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
