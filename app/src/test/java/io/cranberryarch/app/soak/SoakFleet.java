package io.cranberryarch.app.soak;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Nodes as separate processes. Each has its own upstream, and reaches the upstream and the store through proxies. */
final class SoakFleet implements AutoCloseable {

    static final String ACCOUNT = "acme";
    static final String KEY = "key-of-acme";

    private static final int ENTRY_PORT = 7001;
    private static final int PEER_PORT = 7002;
    private static final int READY_PORT = 7003;
    private static final int CONTROL_PORT = 7004;
    private static final int METRICS_PORT = 7005;

    private final Path folder;
    private final SoakStore store = new SoakStore();
    private final Map<String, Integer> runs = SoakUpstream.newRuns();
    private final Set<String> violations = ConcurrentHashMap.newKeySet();
    private final List<SoakNode> nodes = new ArrayList<>();
    private long rulesVersion;

    SoakFleet(Path folder, int size) throws IOException {
        this.folder = folder;
        for (int i = 0; i < size; i++) {
            nodes.add(new SoakNode("node-" + i, toHost(i)));
        }
        publishRules();
        for (SoakNode node : nodes) {
            node.start();
        }
    }

    SoakStore getStore() {
        return store;
    }

    List<SoakNode> getNodes() {
        return nodes;
    }

    /** Returns the number of runs of each request, by its identifier. */
    Map<String, Integer> getRuns() {
        return runs;
    }

    /** Returns the violations found so far: requests that must not reach an upstream, and failed recoveries. */
    Set<String> getViolations() {
        return violations;
    }

    /** Publishes a new version of the rules, which differs from the previous one in a timeout. */
    void publishRules() {
        publishRules(KEY, "read");
    }

    /**
     * Publishes a new version of the rules.
     *
     * @param key the only key
     * @param reads the names of the idempotent routes of each node, which are also their path prefixes
     */
    void publishRules(String key, String... reads) {
        store.publishRules(toNextDocument(key, reads));
    }

    /** Returns the document of a new version of the rules, see {@link #publishRules(String, String...)}. */
    String toNextDocument(String key, String... reads) {
        rulesVersion += 3;
        String routes = nodes.stream()
                .flatMap(node -> Stream.concat(
                        Stream.of(toRoute("order", node.host, "non_idempotent")),
                        Stream.of(reads).map(name -> toRoute(name, node.host, "idempotent"))))
                .collect(Collectors.joining(","));
        return "{\"version\":\"r" + rulesVersion
                + "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\","
                + "\"service\",\"kind\",\"timeoutS\",\"priority\",\"maxAttempts\"],\"rows\":[" + routes
                + "]},\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],\"rows\":[[\""
                + SoakUpstream.SERVICE + "\",\"/health\",100]]},\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],"
                + "\"rows\":[[\"" + ACCOUNT + "\",[\"" + key + "\"]]]},\"limits\":{\"maxHeaderBytes\":8000,"
                + "\"maxBodyBytes\":100000,\"headerTimeoutS\":5,\"idleTimeoutS\":30}}";
    }

    /** Returns the output of all node processes. */
    String readLogs() throws IOException {
        StringBuilder text = new StringBuilder();
        for (File file : folder.toFile().listFiles((unused, name) -> name.endsWith(".log"))) {
            text.append(Files.readString(file.toPath()));
        }
        return text.toString();
    }

    @Override
    public void close() throws Exception {
        for (SoakNode node : nodes) {
            node.close();
        }
        store.close();
    }

    private String toRoute(String kind, String host, String idempotency) {
        return "[\"" + kind + "-" + host + "\",\"" + host + "\",\"/" + kind + "/\",\"" + SoakUpstream.SERVICE + "\",\""
                + idempotency + "\"," + (2 + rulesVersion % 2) + ",0,3]";
    }

    /** Returns a loopback address derived from the process identifier, so that concurrent runs rarely collide. */
    private static String toHost(int index) {
        long pid = ProcessHandle.current().pid();
        return "127." + (10 + pid % 200) + "." + (pid / 200 % 250) + "." + (1 + index);
    }

    /** A node process with its upstream and proxies. */
    final class SoakNode implements AutoCloseable {

        private final String name;
        private final String host;
        private final SoakUpstream upstream;
        private final FaultProxy upstreamProxy;
        private final FaultProxy storeProxy;
        private volatile Process process;

        private SoakNode(String name, String host) throws IOException {
            this.name = name;
            this.host = host;
            this.upstream =
                    new SoakUpstream(name, host + ":" + CONTROL_PORT, host + ":" + ENTRY_PORT, runs, violations);
            this.upstreamProxy = new FaultProxy(upstream.getAddress());
            this.storeProxy = new FaultProxy(store.getAddress());
        }

        String getName() {
            return name;
        }

        SoakUpstream getUpstream() {
            return upstream;
        }

        FaultProxy getUpstreamProxy() {
            return upstreamProxy;
        }

        FaultProxy getStoreProxy() {
            return storeProxy;
        }

        /** Returns whether the node reports that it can serve requests. */
        boolean isReady() throws InterruptedException {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host + ":" + READY_PORT + "/ready"))
                    .build();
            try {
                return HttpClient.newHttpClient()
                                .send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                // The process is not listening yet.
                return false;
            }
        }

        /** Returns whether the process of the node runs, or its exit code. */
        String getProcessState() {
            return process.isAlive() ? "alive" : "exit code " + process.exitValue();
        }

        URI toEntry(String path) {
            return URI.create("http://" + host + ":" + ENTRY_PORT + path);
        }

        /** Sends a signal to the node and returns the process that received it. */
        Process signal(String signal) throws IOException, InterruptedException {
            Process signaled = process;
            new ProcessBuilder("kill", "-" + signal, String.valueOf(signaled.pid()))
                    .start()
                    .waitFor();
            return signaled;
        }

        /** Restarts the node after the given process has ended, unless it has already been restarted. */
        synchronized void restartAfter(Process ended) throws IOException, InterruptedException {
            ended.waitFor();
            if (process == ended) {
                start();
            }
        }

        private void start() throws IOException {
            Path settings = Files.writeString(folder.resolve(name + ".ini"), toIni());
            File output = folder.resolve(name + ".log").toFile();
            ProcessBuilder builder = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx96m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "io.cranberryarch.app.Main",
                            "serve")
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                    .redirectErrorStream(true);
            builder.environment().put("CRANBERRYARCH_CONFIG", settings.toString());
            process = builder.start();
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly().waitFor();
            upstream.close();
            upstreamProxy.close();
            storeProxy.close();
        }

        private String toIni() {
            return String.join(
                    "\n",
                    "[node]",
                    "name = " + name,
                    "zone = zone-" + name.charAt(name.length() - 1),
                    "service = " + SoakUpstream.SERVICE,
                    "[listen]",
                    "entry = " + host + ":" + ENTRY_PORT,
                    "peers = " + host + ":" + PEER_PORT,
                    "ready = " + host + ":" + READY_PORT,
                    "control = " + host + ":" + CONTROL_PORT,
                    "metrics = " + host + ":" + METRICS_PORT,
                    "[upstream]",
                    "address = " + upstreamProxy.getAddress(),
                    "[store]",
                    "address = " + storeProxy.getAddress(),
                    "");
        }
    }
}
