package io.cranberryarch.app;

import io.cranberryarch.base.Digests;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A small fleet of separate processes on the loopback address, which can be killed and frozen. */
final class ProcessFleet implements AutoCloseable {

    static final String OWNER_TOKEN = "owner-token";

    private static final String READY_PREFIX = "ready ";
    private static final long TIMEOUT_MS = 60_000;
    private static final long POLL_MS = 20;

    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<String> instances = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, String> services = new HashMap<>();
    private int starts;

    ProcessFleet(Path folder) throws Exception {
        this.folder = folder;
        start("platform", "standin", "platform");
        awaitReady("platform");
    }

    /** Starts an upstream with its node. */
    void addInstance(String instance, String zone, String service) throws Exception {
        start("up-" + instance, "standin", "upstream", "--name", instance, "--node-file", toNodeFile(instance));
        awaitReady("up-" + instance);
        zones.put(instance, zone);
        services.put(instance, service);
        startNode(instance);
        instances.add(instance);
    }

    /** Starts the node of an instance, after it was killed for example. All other instances are its seeds. */
    void startNode(String instance) throws Exception {
        List<String> seeds = new ArrayList<>();
        for (String other : instances) {
            if (!other.equals(instance)) {
                seeds.add("127.0.0.1:" + readPort(other, "peer"));
            }
        }
        String ini = toIni(instance, zones.get(instance), services.get(instance), String.join(", ", seeds));
        Files.writeString(folder.resolve(instance + ".ini"), ini);
        start(instance, "node", "--config", folder.resolve(instance + ".ini").toString());
        awaitReady(instance);
        Path temporary = folder.resolve(instance + ".next");
        Files.writeString(temporary, "http://127.0.0.1:" + readPort(instance, "local"));
        Files.move(temporary, Path.of(toNodeFile(instance)), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Sends a signal to the node of an instance. */
    void signal(String instance, String signal) throws Exception {
        String pid = String.valueOf(processes.get(instance).pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Waits until the node of an instance has ended. */
    void awaitEnd(String instance) throws Exception {
        if (!processes.get(instance).waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(instance + " did not end");
        }
    }

    /** Runs an operator's command against the first instance. */
    int runCommand(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--node", "http://127.0.0.1:" + readPort(instances.get(0), "admin")));
        all.addAll(List.of("--token", OWNER_TOKEN));
        return Main.run(all.toArray(String[]::new));
    }

    /** Sets the faults of the platform, as a query. */
    void setFaults(String query) throws Exception {
        send(URI.create(readReadyLine("platform") + "/faults?" + query));
    }

    URI toEntry(String instance) {
        return URI.create("http://127.0.0.1:" + readPort(instance, "entry"));
    }

    /** Reads how often each idempotency key ran at all upstreams together. */
    Map<String, Integer> readExecutions() throws Exception {
        Map<String, Integer> sums = new LinkedHashMap<>();
        for (String instance : instances) {
            String text = send(URI.create(readReadyLine("up-" + instance) + "/executions"));
            for (String item : text.substring(1, text.length() - 1).split(", ")) {
                String[] parts = item.split("=");
                if (parts.length == 2) {
                    sums.merge(parts[0], Integer.parseInt(parts[1]), Integer::sum);
                }
            }
        }
        return sums;
    }

    /** Waits until the first instance knows as many serving members as there are instances. */
    void awaitAllServing() throws Exception {
        for (String instance : instances) {
            URI status = URI.create("http://127.0.0.1:" + readPort(instance, "admin") + "/v1/status");
            await(() -> send(status).split("\"state\":\"UP\"", -1).length >= instances.size() + 2);
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long endMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > endMs) {
                throw new AssertionError("the condition did not come to hold");
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Reads what the processes logged. */
    String readLogs() throws IOException {
        StringBuilder text = new StringBuilder();
        for (File file : folder.toFile().listFiles((unused, name) -> name.endsWith(".err") || name.endsWith(".out"))) {
            text.append(Files.readString(file.toPath()));
        }
        return text.toString();
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor();
        }
    }

    private void start(String name, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "io.cranberryarch.app.Main"));
        command.addAll(List.of(arguments));
        starts++;
        Process process = new ProcessBuilder(command)
                .redirectOutput(folder.resolve(name + ".out").toFile())
                .redirectError(folder.resolve(name + "-" + starts + ".err").toFile())
                .start();
        processes.put(name, process);
    }

    private void awaitReady(String name) throws InterruptedException {
        await(() -> !readReadyLine(name).isEmpty());
    }

    private String readReadyLine(String name) {
        try {
            return parseReadyLine(Files.readString(folder.resolve(name + ".out"), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return "";
        }
    }

    /** Finds what a process said when it was ready; a line that is not written to its end does not count. */
    static String parseReadyLine(String output) {
        int start = output.startsWith(READY_PREFIX) ? 0 : output.indexOf("\n" + READY_PREFIX) + 1;
        int end = output.indexOf('\n', start);
        boolean isFound = output.startsWith(READY_PREFIX, start) && end >= 0;
        return isFound ? output.substring(start + READY_PREFIX.length(), end) : "";
    }

    private int readPort(String instance, String listener) {
        for (String word : readReadyLine(instance).split(" ")) {
            if (word.startsWith(listener + "=")) {
                return Integer.parseInt(word.substring(listener.length() + 1));
            }
        }
        throw new IllegalStateException(instance + " is not ready");
    }

    private String send(URI target) {
        try {
            HttpRequest request = HttpRequest.newBuilder(target)
                    .header("Authorization", "Bearer " + OWNER_TOKEN)
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    private String toNodeFile(String instance) {
        return folder.resolve(instance + ".local").toString();
    }

    private String toIni(String instance, String zone, String service, String seeds) {
        return String.join(
                "\n",
                "[node]",
                "instance = " + instance,
                "zone = " + zone,
                "service = " + service,
                "slots = 100",
                "[listen]",
                "entry-port = 0",
                "local-port = 0",
                "peer-port = 0",
                "admin-port = 0",
                "[platform]",
                "url = " + readReadyLine("platform"),
                "[upstream]",
                "url = " + readReadyLine("up-" + instance),
                "[fleet]",
                "secret = a-secret-for-the-tests",
                "zones = zone-a, zone-b",
                "seeds = " + seeds,
                "[operators]",
                "owner-token-sha256 = " + Digests.toSha256Hex(OWNER_TOKEN),
                "");
    }
}
