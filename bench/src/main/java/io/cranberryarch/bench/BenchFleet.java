package io.cranberryarch.bench;

import io.cranberryarch.base.Closer;
import io.cranberryarch.base.Digests;
import io.cranberryarch.node.Node;
import io.cranberryarch.settings.NodeConfigReader;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.standin.PlatformStandin;
import io.cranberryarch.standin.UpstreamStandin;
import io.cranberryarch.store.SettingsLog;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** A fleet in this process, with a platform, one upstream and any number of nodes on the loopback address. */
final class BenchFleet implements AutoCloseable {

    static final String OWNER_TOKEN = "owner-token";
    static final String KEY = "k1.secret-of-k1";

    private static final long CONDITION_TIMEOUT_MS = 120_000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final int SLOTS = 1_000;

    private final Closer closer = new Closer();
    private final PlatformStandin platform;
    private final UpstreamStandin upstream;
    private final List<Node> nodes = new ArrayList<>();
    private long settingsVersion;

    BenchFleet() throws Exception {
        platform = closer.add(new PlatformStandin(0)).start();
        upstream = closer.add(new UpstreamStandin("upstream", 0)).start();
        commitSettings(
                "/teams/shop/accounts/acme/rate=100000",
                "/teams/shop/accounts/acme/burst=100000",
                "/teams/shop/keys/k1/account=acme",
                "/teams/shop/keys/k1/sha256=" + Digests.toSha256Hex("secret-of-k1"),
                "/teams/shop/routes/order/prefix=/orders",
                "/teams/shop/routes/order/service=orders",
                "/teams/shop/routes/order/idempotent=true");
    }

    Node add(String instance, String service) throws Exception {
        Node node = Node.start(NodeConfigReader.read(writeConfig(instance, service)));
        nodes.add(node);
        upstream.announce(URI.create("http://127.0.0.1:" + node.getLocalPort()), "up", SLOTS);
        return node;
    }

    /** Writes the INI file of a node that uses the upstream and the platform of this fleet. */
    Path writeConfig(String instance, String service) throws Exception {
        String seeds = nodes.isEmpty() ? "" : "127.0.0.1:" + nodes.get(0).getPeerPort();
        Path file = Files.createTempFile("bench", ".ini");
        file.toFile().deleteOnExit();
        return Files.writeString(
                file,
                String.join(
                        "\n",
                        "[node]",
                        "instance = " + instance,
                        "zone = zone-a",
                        "service = " + service,
                        "slots = " + SLOTS,
                        "[listen]",
                        "host = 127.0.0.1",
                        "entry-port = 0",
                        "local-port = 0",
                        "peer-port = 0",
                        "admin-port = 0",
                        "[platform]",
                        "url = " + platform.getAddress(),
                        "[upstream]",
                        "url = " + upstream.getAddress(),
                        "[fleet]",
                        "secret = a-secret-for-the-bench",
                        "zones = zone-a",
                        "seeds = " + seeds,
                        "[operators]",
                        "owner-token-sha256 = " + Digests.toSha256Hex(OWNER_TOKEN),
                        "[log]",
                        "level = warn",
                        ""));
    }

    void commitSettings(String... assignments) throws Exception {
        List<SettingEdit> edits = new ArrayList<>();
        for (String assignment : assignments) {
            int equals = assignment.indexOf('=');
            edits.add(new SettingEdit(
                    SettingPath.of(assignment.substring(0, equals)), Optional.of(assignment.substring(equals + 1))));
        }
        settingsVersion++;
        SettingChange change = new SettingChange(settingsVersion, "bench-" + settingsVersion, "bench", 0, edits);
        if (!new SettingsLog(platform.getPlatform()).commit(change)) {
            throw new IllegalStateException("the change of the settings was not accepted");
        }
    }

    void awaitReady() throws InterruptedException {
        await(() -> nodes.stream().allMatch(node -> node.getServingMembers() == nodes.size() && node.isReady()));
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineMs = System.currentTimeMillis() + CONDITION_TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > deadlineMs) {
                throw new IllegalStateException("the condition was not met before the timeout");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    List<Node> getNodes() {
        return nodes;
    }

    URI getUpstream() {
        return upstream.getAddress();
    }

    void announce(int localPort) throws Exception {
        upstream.announce(URI.create("http://127.0.0.1:" + localPort), "up", SLOTS);
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            node.kill();
        }
        closer.close();
    }
}
