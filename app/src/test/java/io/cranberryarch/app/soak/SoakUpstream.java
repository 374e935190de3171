package io.cranberryarch.app.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** An upstream that records the requests that it runs, and reports its state to its node. */
final class SoakUpstream implements AutoCloseable {

    static final String SERVICE = "orders";
    static final String ID_HEADER = "X-Cranberryarch-Attempt-Id";

    private static final long REPORT_INTERVAL_MS = 500;
    private static final int SLOTS = 20;
    private static final int MAX_WORK_MS = 60;
    private static final double REJECTED_RATIO = 0.05;
    private static final double NESTED_CALL_RATIO = 0.3;
    private static final String NESTED_ID_SUFFIX = ".1";
    private static final String STAMP_HEADER = "X-Cranberryarch-Response-Stamp";
    private static final String TIMEOUT_HEADER = "X-Cranberryarch-Deadline-Ms";
    private static final Set<Integer> DENIED_STATUSES = Set.of(400, 401, 403, 404);

    private final String name;
    private final String control;
    private final String entry;
    private final Map<String, Integer> runs;
    private final Set<String> localRuns = ConcurrentHashMap.newKeySet();
    private final Set<String> violations;
    private final UpstreamStatements statements;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean isClosed;
    private volatile boolean hasLeft;
    private volatile int incarnation = 1;
    private long startedAtMs = System.currentTimeMillis();
    private long sequence;

    SoakUpstream(String name, String control, String entry, Map<String, Integer> runs, Set<String> violations)
            throws IOException {
        this.name = name;
        this.control = control;
        this.entry = entry;
        this.runs = runs;
        this.violations = violations;
        this.statements = new UpstreamStatements(name, violations);
        this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::sendReports);
    }

    static Map<String, Integer> newRuns() {
        return new ConcurrentHashMap<>();
    }

    /** Returns the identifiers of the requests that this upstream ran. */
    Set<String> getLocalRuns() {
        return localRuns;
    }

    /** Returns what this upstream states about itself in its responses. */
    UpstreamStatements getStatements() {
        return statements;
    }

    InetSocketAddress getAddress() {
        return server.getAddress();
    }

    /** Replaces this incarnation without notice by one that has no state of it. */
    synchronized void replaceInstance() {
        incarnation++;
        startedAtMs = System.currentTimeMillis();
        sequence = 0;
        statements.reset();
    }

    /**
     * Announces that this incarnation leaves, and makes no reports from then on. It goes on serving, and its health
     * check goes on succeeding.
     *
     * @return the status of the node's response
     */
    int leave() throws IOException, InterruptedException {
        hasLeft = true;
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + control + "/instances/" + toInstanceId() + "/deregister"))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    @Override
    public void close() {
        isClosed = true;
        server.stop(0);
        threads.shutdownNow();
    }

    /** Records that a node has passed on a response of this upstream, unless it is of an earlier incarnation. */
    void onPassedOn(String node, long sentAtMs, HttpHeaders headers) {
        boolean isCurrent =
                headers.firstValue(STAMP_HEADER).filter(toInstanceId()::equals).isPresent();
        if (isCurrent) {
            statements.onPassedOn(
                    node,
                    sentAtMs,
                    headers.firstValue(UpstreamStatements.LIMIT_HEADER).isPresent(),
                    headers.firstValue(UpstreamStatements.LEAVING_HEADER).isPresent());
        }
    }

    private String toInstanceId() {
        return name + "-" + incarnation;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String instance = toInstanceId();
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
        statements.onArrival(id);
        statements
                .getRatePerS()
                .ifPresent(rate ->
                        exchange.getResponseHeaders().set(UpstreamStatements.LIMIT_HEADER, String.valueOf(rate)));
        if (statements.isLeaving()) {
            exchange.getResponseHeaders().set(UpstreamStatements.LEAVING_HEADER, "1");
        }
        if (ThreadLocalRandom.current().nextDouble() < REJECTED_RATIO) {
            exchange.getResponseHeaders().set("X-Cranberryarch-Not-Executed", "1");
            respond(exchange, 503, "");
            return;
        }
        runs.merge(id, 1, Integer::sum);
        localRuns.add(id);
        checkRequest(exchange, id);
        try {
            if (!isNested(id) && ThreadLocalRandom.current().nextDouble() < NESTED_CALL_RATIO) {
                callReadRoute(id, exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER));
            }
            Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_WORK_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.getResponseHeaders().set(STAMP_HEADER, instance);
        respond(exchange, 200, "ran " + id);
    }

    /** Returns whether a request with an identifier is a call that an upstream made while it ran another request. */
    static boolean isNested(String id) {
        return id.endsWith(NESTED_ID_SUFFIX);
    }

    /** Makes a nested call through the node. It may fail, but must not be denied. */
    private void callReadRoute(String parentId, String timeoutMs) throws InterruptedException {
        String id = parentId + NESTED_ID_SUFFIX;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/read/" + id))
                .header(ID_HEADER, id)
                .header(TIMEOUT_HEADER, timeoutMs)
                .timeout(Duration.ofMillis(Long.parseLong(timeoutMs)))
                .build();
        try {
            int status =
                    client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            if (DENIED_STATUSES.contains(status)) {
                violations.add("the nested call " + id + " was denied with " + status);
            }
        } catch (IOException e) {
            // The node is unavailable, or the call timed out.
        }
    }

    private void checkRequest(HttpExchange exchange, String id) {
        if (exchange.getRequestHeaders().containsKey("Authorization")) {
            violations.add("the key of " + id + " reached an upstream");
        }
        String account = isNested(id) ? null : SoakFleet.ACCOUNT;
        if (!Objects.equals(account, exchange.getRequestHeaders().getFirst("X-Cranberryarch-Tenant-Name"))) {
            violations.add(id + " ran for another account");
        }
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void sendReports() {
        while (!isClosed && !hasLeft) {
            try {
                client.send(toReport(), HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                // The node is unavailable; the next report contains the whole state.
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
        return HttpRequest.newBuilder(URI.create("http://" + control + "/instances/" + toInstanceId() + "/heartbeat"))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
