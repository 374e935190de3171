package io.cranberryarch.app;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Closer;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.mesh.EventLog;
import io.cranberryarch.mesh.MeshNode;
import io.cranberryarch.mesh.MeshSettings;
import io.cranberryarch.mesh.SharedStore;
import io.cranberryarch.mesh.UpstreamIncarnation;
import io.cranberryarch.mesh.UpstreamReport;
import io.cranberryarch.net.ByteBudget;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientConnection;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpFailure;
import io.cranberryarch.net.HttpLimits;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.net.HttpServer;
import io.cranberryarch.platform.PlatformHeaders;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.RequestLimits;
import io.cranberryarch.settings.serving.ServiceRule;
import io.cranberryarch.settings.serving.ServingRoute;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.settings.serving.WeightedService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Serves requests with two nodes in one process, so that the build can record which classes a node loads. A class data
 * sharing archive built from this record spares each node the loading and linking of these classes.
 *
 * <pre>
 * java -XX:DumpLoadedClassList=target/classes.lst -cp target/cranberryarch.jar \
 *     io.cranberryarch.app.ArchiveTraining deploy/archive.ini
 * </pre>
 */
final class ArchiveTraining {

    private static final int REQUEST_COUNT = 400;
    private static final int CALLER_COUNT = 8;

    /** The rate of the client account, above the request rate of the callers so that few requests are refused. */
    private static final double RATE_PER_S = 2_000;

    /** An interval longer than the training, which disables a periodic task. */
    private static final int DISABLED_INTERVAL_MS = 600_000;

    private static final int MAX_BODY_BYTES = 1_000_000;
    /** The delay before the first request, and the idle timeout of the client connections. */
    private static final long START_DELAY_MS = 300;

    private static final long MAX_RUN_MS = 20_000;
    private static final String HOST = "shop.example";
    private static final String OUTER_SERVICE = "orders";
    private static final String INNER_SERVICE = "stock";
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final EventLoop loop = new EventLoop(Clock.system());
    private final EventLog log = new EventLog(1);
    private final Closer closer = new Closer();
    private final MemoryStore store = new MemoryStore(loop);
    private final List<MeshNode> nodes = new ArrayList<>();
    private int sentRequests;
    private int endedRequests;
    private int servedRequests;

    ArchiveTraining() throws IOException {}

    /**
     * Runs the training: starts a node from its settings file, and serves requests with two nodes.
     *
     * @param arguments the settings file of the node that is started but serves no requests
     * @throws Exception if a port cannot be bound
     */
    public static void main(String[] arguments) throws Exception {
        int exit = Main.run("serve", "--config", Path.of(arguments[0]).toString(), "--stop-after-ms", "700");
        if (exit != 0) {
            System.exit(exit);
        }
        new ArchiveTraining().serve();
        System.exit(0);
    }

    /**
     * Serves the requests and stops both nodes.
     *
     * @return the number of requests that received a response of an upstream
     */
    int serve() throws Exception {
        addNode("first", OUTER_SERVICE);
        addNode("second", INNER_SERVICE);
        HttpClientPool callers = newPool(nodes.get(0).getEntryAddress());
        loop.schedule(START_DELAY_MS, () -> {
            for (int i = 0; i < CALLER_COUNT; i++) {
                sendNext(callers);
            }
        });
        loop.schedule(MAX_RUN_MS, loop::close);
        loop.run();
        closer.close();
        return servedRequests;
    }

    private void addNode(String name, String service) throws IOException {
        HttpServer upstream = HttpServer.bind(
                loop,
                ANY_PORT,
                () -> HttpLimits.DEFAULT,
                exchange -> onUpstreamRequest(exchange, service, name),
                (status, cause) -> HttpResponseMessage.ofEmpty(status));
        closer.add(upstream);
        MeshSettings settings = new MeshSettings(
                name,
                "zone-a",
                service,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                upstream.getAddress(),
                DISABLED_INTERVAL_MS,
                ANY_PORT,
                List.of(),
                DISABLED_INTERVAL_MS,
                0.2,
                50,
                5_000,
                0.1,
                20,
                1);
        MeshNode node = new MeshNode(loop, settings, PlatformHeaders.NAMES, store, ArchiveTraining::readRules, log);
        node.start();
        node.getReports().onReport(new UpstreamReport(name, 1, 1, service, 20, false, 0), () -> {});
        nodes.add(node);
    }

    /** Responds as an upstream. The outer service first calls the inner one through its node. */
    private void onUpstreamRequest(HttpExchange exchange, String service, String name) {
        if (service.equals(INNER_SERVICE)) {
            respond(exchange, name);
            return;
        }
        HttpRequestMessage request = exchange.getRequest();
        List<HeaderField> headers = List.of(
                new HeaderField("Host", HOST),
                new HeaderField(PlatformHeaders.NAMES.requestId(), "nested-" + sentRequests),
                new HeaderField(
                        PlatformHeaders.NAMES.timeoutMs(),
                        request.findHeader(PlatformHeaders.NAMES.timeoutMs()).orElse("1000")));
        HttpRequestMessage call =
                new HttpRequestMessage("GET", "/" + INNER_SERVICE + "/1", headers, new byte[0], false);
        try {
            newPool(nodes.get(0).getEntryAddress())
                    .send(call, response -> true, new EndCallback(() -> respond(exchange, name)));
        } catch (IOException e) {
            exchange.respond(HttpResponseMessage.ofEmpty(500));
        }
    }

    private static void respond(HttpExchange exchange, String name) {
        List<HeaderField> headers = new ArrayList<>();
        exchange.getRequest()
                .findHeader(PlatformHeaders.NAMES.requestId())
                .ifPresent(id -> headers.add(new HeaderField(PlatformHeaders.NAMES.requestId(), id)));
        headers.add(new HeaderField(PlatformHeaders.NAMES.responseStamp(), name));
        headers.add(new HeaderField(PlatformHeaders.NAMES.instance(), name));
        exchange.respond(new HttpResponseMessage(200, headers, "done".getBytes(StandardCharsets.UTF_8)));
    }

    private void sendNext(HttpClientPool callers) {
        if (sentRequests == REQUEST_COUNT) {
            return;
        }
        sentRequests++;
        String method = sentRequests % 2 == 0 ? "GET" : "POST";
        String key = sentRequests % 10 == 0 ? "unknown" : "key";
        List<HeaderField> headers = List.of(
                new HeaderField("Host", HOST),
                new HeaderField("Authorization", "Bearer " + key),
                new HeaderField(PlatformHeaders.NAMES.requestId(), "request-" + sentRequests),
                new HeaderField(PlatformHeaders.NAMES.timeoutMs(), "2000"));
        HttpRequestMessage request = new HttpRequestMessage(
                method,
                "/" + (sentRequests % 3 == 0 ? INNER_SERVICE : OUTER_SERVICE) + "/1",
                headers,
                new byte[0],
                false);
        callers.send(request, this::countServed, new EndCallback(() -> {
            endedRequests++;
            if (endedRequests == REQUEST_COUNT) {
                nodes.forEach(MeshNode::stop);
            }
            sendNext(callers);
        }));
    }

    private boolean countServed(HttpResponseMessage response) {
        servedRequests += response.status() == 200 ? 1 : 0;
        return true;
    }

    private HttpClientPool newPool(InetSocketAddress address) {
        return new HttpClientPool(loop, address, MAX_BODY_BYTES, START_DELAY_MS, new ByteBudget(MAX_BODY_BYTES));
    }

    private static ServingRules readRules(byte[] document) throws SettingsException {
        List<AccountRule> accounts =
                List.of(new AccountRule("acme", List.of("key"), Optional.empty(), RATE_PER_S, RATE_PER_S));
        return new ServingRules(
                document.length,
                List.of(newRoute(OUTER_SERVICE, 1), newRoute(INNER_SERVICE, 0)),
                List.of(new ServiceRule(OUTER_SERVICE, "/health", 100), new ServiceRule(INNER_SERVICE, "/health", 100)),
                accounts,
                new RequestLimits(8_000, 100_000, 5_000, 30_000));
    }

    private static ServingRoute newRoute(String service, int rank) {
        List<WeightedService> targets = List.of(new WeightedService(service, 1));
        return new ServingRoute(service, HOST, "/" + service + "/", targets, true, false, 2_000, 1_000, rank, 2);
    }

    /** Runs a task when a request has ended, with a response or a failure. */
    private record EndCallback(Runnable task) implements HttpClientConnection.Callback {

        @Override
        public void onResponse(HttpResponseMessage response) {
            task.run();
        }

        @Override
        public void onFailure(HttpFailure failure, String cause) {
            task.run();
        }
    }

    /** An in-memory store with a constant document. */
    private static final class MemoryStore implements SharedStore {

        private static final byte[] DOCUMENT = {1};

        private final EventLoop loop;
        private final List<PeerInfo> peers = new ArrayList<>();

        MemoryStore(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void addRestoreListener(Runnable listener) {
            // The store never returns from a copy.
        }

        @Override
        public void readDocument(Callback<Optional<byte[]>> callback) {
            complete(callback, Optional.of(DOCUMENT));
        }

        @Override
        public Runnable awaitDocument(long afterRevision, long waitMs, Callback<Optional<byte[]>> callback) {
            return loop.schedule(waitMs, () -> callback.onResult(Optional.empty(), 1))::cancel;
        }

        @Override
        public long nowMs() {
            return loop.nowMs();
        }

        @Override
        public void register(PeerInfo self, Callback<Void> callback) {
            peers.add(self);
            complete(callback, null);
        }

        @Override
        public void deregister(String node, Callback<Void> callback) {
            complete(callback, null);
        }

        @Override
        public void readPeers(Callback<List<PeerInfo>> callback) {
            complete(callback, List.copyOf(peers));
        }

        @Override
        public void writeLeaves(String node, List<UpstreamIncarnation> leaves, Callback<Void> callback) {
            complete(callback, null);
        }

        @Override
        public void readLeaves(String node, Callback<List<UpstreamIncarnation>> callback) {
            complete(callback, List.of());
        }

        @Override
        public void writeObject(String name, byte[] content, Callback<Void> callback) {
            complete(callback, null);
        }

        private <T> void complete(Callback<T> callback, T result) {
            loop.execute(() -> callback.onResult(result, 1));
        }
    }
}
