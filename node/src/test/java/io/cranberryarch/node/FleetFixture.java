package io.cranberryarch.node;

import io.cranberryarch.base.Closer;
import io.cranberryarch.base.Digests;
import io.cranberryarch.settings.NodeConfig;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.standin.PlatformStandin;
import io.cranberryarch.standin.UpstreamStandin;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.SettingsLog;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** A small fleet in one process: a simulated platform, upstreams and their nodes, all on the loopback address. */
public final class FleetFixture implements AutoCloseable {

    /** The token of the owner. */
    public static final String OWNER_TOKEN = "owner-token";
    /** The API key of the client account "acme". */
    public static final String KEY = "k1.secret-of-k1";

    private static final String SECRET = "a-secret-for-the-tests";
    private static final long AWAIT_TIMEOUT_MS = 15_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final Closer closer = new Closer();
    private final PlatformStandin platform;
    private final List<Node> nodes = new ArrayList<>();
    private final List<UpstreamStandin> upstreams = new ArrayList<>();
    private long version;

    /** Starts the platform and commits settings with one account, one key and three routes. */
    public FleetFixture() throws Exception {
        platform = closer.add(new PlatformStandin(0)).start();
        applySettings(
                "/teams/shop/accounts/acme/rate=1000",
                "/teams/shop/accounts/acme/burst=1000",
                "/teams/shop/keys/k1/account=acme",
                "/teams/shop/keys/k1/sha256=" + Digests.toSha256Hex("secret-of-k1"),
                "/teams/shop/routes/order/prefix=/orders",
                "/teams/shop/routes/order/service=orders",
                "/teams/shop/routes/history/prefix=/history",
                "/teams/shop/routes/history/service=history",
                "/teams/shop/routes/history/idempotent=true",
                "/teams/shop/routes/open/prefix=/open",
                "/teams/shop/routes/open/service=orders",
                "/teams/shop/routes/open/open=true");
    }

    /** Starts an upstream with its node and announces it. */
    public Node add(String instance, String zone, String service, int slots) throws Exception {
        UpstreamStandin upstream = closer.add(new UpstreamStandin(instance, 0)).start();
        Node node = addNode(instance, zone, service, slots, upstream.getAddress());
        upstream.announce(URI.create("http://127.0.0.1:" + node.getLocalPort()), "up", slots);
        upstreams.add(upstream);
        return node;
    }

    /** Starts a node for an existing upstream, without announcing the upstream. */
    public Node addNode(String instance, String zone, String service, int slots, URI upstream) throws Exception {
        Node node = Node.start(toConfig(instance, zone, service, slots, upstream));
        nodes.add(node);
        return node;
    }

    /** Commits a change of the settings, given as PATH=VALUE pairs; an empty value removes the path. */
    public void applySettings(String... assignments) throws SettingsException, PlatformException {
        List<SettingEdit> edits = new ArrayList<>();
        for (String assignment : assignments) {
            int equals = assignment.indexOf('=');
            String value = assignment.substring(equals + 1);
            edits.add(new SettingEdit(
                    SettingPath.of(assignment.substring(0, equals)),
                    value.isEmpty() ? Optional.empty() : Optional.of(value)));
        }
        version++;
        SettingChange change = new SettingChange(version, "fixture-" + version, "fixture", 0, edits);
        if (!new SettingsLog(platform.getPlatform()).commit(change)) {
            throw new IllegalStateException("settings change was not committed");
        }
    }

    /** Waits until every node is ready and has as many serving members as there are nodes. */
    public void awaitReady() throws InterruptedException {
        await(() -> nodes.stream().allMatch(node -> node.getServingMembers() == nodes.size() && node.isReady()));
    }

    /** Waits until a condition is met, and fails after a time limit. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long endMs = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > endMs) {
                throw new AssertionError("condition not met within the time limit");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    public PlatformStandin getPlatform() {
        return platform;
    }

    public Node getNode(int index) {
        return nodes.get(index);
    }

    public UpstreamStandin getUpstream(int index) {
        return upstreams.get(index);
    }

    /** Returns the address of a node for callers. */
    public URI getEntryUri(int index) {
        return URI.create("http://127.0.0.1:" + nodes.get(index).getEntryPort());
    }

    /** Returns the address of a node for operators. */
    public URI getAdminUri(int index) {
        return URI.create("http://127.0.0.1:" + nodes.get(index).getAdminPort());
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            node.kill();
        }
        closer.close();
    }

    private NodeConfig toConfig(String instance, String zone, String service, int slots, URI upstream)
            throws Exception {
        List<InetSocketAddress> seeds = nodes.isEmpty()
                ? List.of()
                : List.of(new InetSocketAddress("127.0.0.1", nodes.get(0).getPeerPort()));
        return new NodeConfig(
                instance,
                zone,
                service,
                slots,
                "127.0.0.1",
                0,
                0,
                0,
                0,
                platform.getAddress(),
                1_000,
                upstream,
                SECRET,
                List.of("zone-a", "zone-b"),
                seeds,
                Optional.of(Digests.toSha256Hex(OWNER_TOKEN)),
                MAX_BODY_BYTES,
                "warn");
    }
}
