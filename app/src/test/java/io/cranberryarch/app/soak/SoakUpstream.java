package io.cranberryarch.app.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** An upstream that notes what it runs, and reports itself to the node beside it. */
final class SoakUpstream implements AutoCloseable {

    static final String SERVICE = "orders";
    static final String ID_HEADER = "X-Cranberryarch-Attempt-Id";

    private static final long REPORT_INTERVAL_MS = 500;
    private static final int SLOTS = 20;
    private static final int MAX_WORK_MS = 60;
    private static final double REJECTED_PART = 0.05;

    private final String name;
    private final String control;
    private final Map<String, Integer> runs;
    private final Set<String> faults;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean isClosed;
    private volatile int incarnation = 1;
    private long startedAtMs = System.currentTimeMillis();
    private long sequence;

    SoakUpstream(String name, String control, Map<String, Integer> runs, Set<String> faults) throws IOException {
        this.name = name;
        this.control = control;
        this.runs = runs;
        this.faults = faults;
        this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
        threads.execute(this::report);
    }

    static Map<String, Integer> newRuns() {
        return new ConcurrentHashMap<>();
    }

    InetSocketAddress getAddress() {
        return server.getAddress();
    }

    /** Ends this incarnation without notice; the next one knows nothing of it. */
    synchronized void replace() {
        incarnation++;
        startedAtMs = System.currentTimeMillis();
        sequence = 0;
    }

    @Override
    public void close() {
        isClosed = true;
        server.stop(0);
        threads.shutdownNow();
    }

    private String toInstance() {
        return name + "-" + incarnation;
    }

    private void answer(HttpExchange exchange) throws IOException {
        String instance = toInstance();
        exchange.getResponseHeaders().set("X-Cranberryarch-Instance-Id", instance);
        if (exchange.getRequestURI().getPath().equals("/health")) {
            respond(exchange, 200, "");
            return;
        }
        String id = exchange.getRequestHeaders().getFirst(ID_HEADER);
        exchange.getResponseHeaders().set(ID_HEADER, id);
        if (!instance.equals(exchange.getRequestHeaders().getFirst("X-Cranberryarch-Expect-Instance"))) {
            respond(exchange, 421, "");
            return;
        }
        if (ThreadLocalRandom.current().nextDouble() < REJECTED_PART) {
            exchange.getResponseHeaders().set("X-Cranberryarch-Not-Executed", "1");
            respond(exchange, 503, "");
            return;
        }
        runs.merge(id, 1, Integer::sum);
        check(exchange, id);
        try {
            Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_WORK_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.getResponseHeaders().set("X-Cranberryarch-Response-Stamp", instance);
        respond(exchange, 200, "ran " + id);
    }

    private void check(HttpExchange exchange, String id) {
        if (exchange.getRequestHeaders().containsKey("Authorization")) {
            faults.add("the key of " + id + " reached an upstream");
        }
        if (!SoakFleet.ACCOUNT.equals(exchange.getRequestHeaders().getFirst("X-Cranberryarch-Tenant-Name"))) {
            faults.add(id + " ran for another account");
        }
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void report() {
        while (!isClosed) {
            try {
                client.send(toReport(), HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                // The node is away; the next report tells it all.
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(REPORT_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized HttpRequest toReport() {
        sequence++;
        String body = String.format(
                "{\"born\":%d,\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"z\","
                        + "\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":%d,\"coldLeftS\":0}}",
                startedAtMs, SERVICE, SLOTS, sequence);
        return HttpRequest.newBuilder(URI.create("http://" + control + "/instances/" + toInstance() + "/heartbeat"))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
