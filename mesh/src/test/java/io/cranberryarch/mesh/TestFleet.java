package io.cranberryarch.mesh;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Closer;
import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.RequestLimits;
import io.cranberryarch.settings.serving.ServiceRule;
import io.cranberryarch.settings.serving.ServingRoute;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.settings.serving.WeightedService;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;

/** Nodes with their upstreams on loopback, which share a store. The rules document consists of their version. */
final class TestFleet implements AutoCloseable {

    static final String ROUTE_HOST = "shop.example";

    /** An address whose port the operating system chooses. */
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private static final long TIMEOUT_MS = 30_000;

    private final Closer closer = new Closer();
    private final FakeStore store = new FakeStore();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private volatile List<AccountRule> accounts =
            List.of(new AccountRule("ana", List.of("key-of-ana"), Optional.empty(), 0, 0));

    /** Adds a node whose upstream serves the service "stock". */
    Member add(String name, String zone) throws Exception {
        return add(name, zone, 10_000);
    }

    /** Adds a node that stops within a grace period. */
    Member add(String name, String zone, long stopGraceMs) throws Exception {
        TestUpstream upstream = closer.add(new TestUpstream("instance-of-" + name));
        EventLoop loop = new EventLoop(Clock.system());
        MeshSettings settings = new MeshSettings(
                name,
                zone,
                "stock",
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                upstream.getAddress(),
                60_000,
                ANY_PORT,
                List.of(),
                stopGraceMs,
                0.2,
                50,
                5_000,
                0.1,
                20,
                1_000);
        EventLog log = closer.add(new EventLog(1_000, lines::add));
        FakeStore.View view = store.connect(loop);
        MeshNode node = new MeshNode(loop, settings, TestHeaderNames.NAMES, view, this::readRules, log);
        Member member = new Member(settings, loop, node, upstream, view, log, new Thread(loop::run, name));
        closer.add(member);
        members.add(member);
        return member;
    }

    void start() throws Exception {
        start(members.toArray(new Member[0]));
    }

    void start(Member... started) throws Exception {
        for (Member member : started) {
            member.node().start();
            member.thread().start();
            member.report(1, false);
        }
        for (Member member : started) {
            await(() -> member.getReadinessStatus() == 200);
        }
    }

    /** Returns the objects that the nodes wrote to the store. */
    Map<String, byte[]> getObjects() {
        return store.getObjects();
    }

    /** Returns the store that the nodes share. */
    FakeStore getStore() {
        return store;
    }

    /** Returns the lines that all nodes have logged so far. */
    List<String> getLines() {
        return lines;
    }

    /** Waits until a node has logged a line that contains a match of a pattern. */
    void awaitLine(String regex) throws Exception {
        Pattern pattern = Pattern.compile(regex);
        await(() -> lines.stream().anyMatch(line -> pattern.matcher(line).find()));
    }

    void setAccounts(AccountRule... newAccounts) {
        accounts = List.of(newAccounts);
    }

    void publish(long version) {
        store.write(String.valueOf(version).getBytes(StandardCharsets.UTF_8));
    }

    /** Adds an entry to the list of nodes in the store. */
    void addToList(PeerInfo peer) {
        store.addPeer(peer);
    }

    /** Makes all calls of the nodes to the store that wait for new rules silent. */
    void silenceWaits() {
        store.silenceWaits();
    }

    /** Ends all nodes but one, as if their processes were killed. */
    void endAllExcept(Member remaining) throws Exception {
        for (Member member : members) {
            if (!member.equals(remaining)) {
                member.close();
            }
        }
    }

    /** Sends a request to a node's entry. */
    CompletableFuture<HttpResponse<String>> send(Member member, String method, String path, String key) {
        return send(member, method, path, key, "5000");
    }

    /** Sends a request with a timeout of the caller. */
    CompletableFuture<HttpResponse<String>> send(
            Member member, String method, String path, String key, String timeoutMs) {
        return send("id-" + System.nanoTime(), member, method, path, key, timeoutMs);
    }

    /** Sends a request with an identifier. */
    CompletableFuture<HttpResponse<String>> sendAs(
            String requestId, Member member, String method, String path, String key) {
        return send(requestId, member, method, path, key, "5000");
    }

    private CompletableFuture<HttpResponse<String>> send(
            String requestId, Member member, String method, String path, String key, String timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + member.getEntryPort() + path))
                .header(TestHeaderNames.NAMES.requestId(), requestId)
                .header(TestHeaderNames.NAMES.timeoutMs(), timeoutMs)
                .method(method, HttpRequest.BodyPublishers.noBody());
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static <T> T get(CompletableFuture<T> result) throws Exception {
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    static void await(Callable<Boolean> condition) throws Exception {
        long endMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.call()) {
            if (System.currentTimeMillis() > endMs) {
                throw new AssertionError("condition not met in time");
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() throws Exception {
        closer.close();
    }

    private ServingRules readRules(byte[] document) {
        long version = Long.parseLong(new String(document, StandardCharsets.UTF_8));
        List<ServingRoute> routes = new ArrayList<>();
        routes.add(toRoute("read", "/read/", true, false));
        routes.add(toRoute("order", "/order/", false, false));
        routes.add(toRoute("open", "/open/", true, true));
        if (version >= 2) {
            routes.add(toRoute("added", "/added/", true, true));
        }
        List<ServiceRule> services = List.of(new ServiceRule("stock", "/health", 100));
        return new ServingRules(version, routes, services, accounts, new RequestLimits(8_000, 100_000, 5_000, 30_000));
    }

    private static ServingRoute toRoute(String name, String prefix, boolean isIdempotent, boolean isOpen) {
        List<WeightedService> services = List.of(new WeightedService("stock", 1));
        return new ServingRoute(name, "127.0.0.1", prefix, services, isIdempotent, isOpen, 4_000, 1_000, 0, 2);
    }

    /** A node with its event loop, upstream, store and log. */
    record Member(
            MeshSettings settings,
            EventLoop loop,
            MeshNode node,
            TestUpstream upstream,
            FakeStore.View store,
            EventLog log,
            Thread thread)
            implements AutoCloseable {

        void report(long sequence, boolean isLeaving) {
            String instance = "instance-of-" + settings.node();
            UpstreamReport report = new UpstreamReport(instance, 1, sequence, "stock", 20, isLeaving, 0);
            loop.execute(() -> node.getReports().onReport(report, () -> {}));
        }

        /** Blocks the event loop, as if the process were stopped. Returns at once. */
        void stall(long durationMs) {
            loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(durationMs)));
        }

        /** Announces that the upstream leaves and waits for the acknowledgement. */
        void leave() throws Exception {
            CompletableFuture<Void> acknowledged = new CompletableFuture<>();
            String instance = "instance-of-" + settings.node();
            loop.execute(() -> node.getReports().onLeave(instance, 1, () -> acknowledged.complete(null)));
            get(acknowledged);
        }

        int getEntryPort() {
            try {
                return node.getEntryAddress().getPort();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Returns the status of a readiness check: 200 if the node is ready, 503 otherwise. */
        int getReadinessStatus() throws Exception {
            URI ready =
                    URI.create("http://127.0.0.1:" + node.getReadinessAddress().getPort() + "/ready");
            return HttpClient.newHttpClient()
                    .send(HttpRequest.newBuilder(ready).build(), HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        }

        String metrics() throws Exception {
            URI metrics =
                    URI.create("http://127.0.0.1:" + node.getMetricsAddress().getPort() + "/metrics");
            return HttpClient.newHttpClient()
                    .send(HttpRequest.newBuilder(metrics).build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        }

        @Override
        public void close() throws Exception {
            loop.close();
            thread.join();
        }
    }
}
