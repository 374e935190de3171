import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment: some machines of one service in two zones, at times one of another service, and the store with a
 * configuration.
 */
final class Fleet implements AutoCloseable {

    static final String HOST = "shop.example";
    static final String KEY = "key-of-acme";

    /** The key of a tenant with a quota of 5 requests a second. */
    static final String LIMITED_KEY = "key-of-busy";

    private static final long START_TIMEOUT_MS = 30_000;

    final Recorder record;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    final Map<String, String> runs = Machine.newRuns();
    private final Path folder;
    private final String net;

    /** @param timeoutS the timeoutS of both routes */
    Fleet(Recorder record, int size, double timeoutS, Machine.Work work) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-2-");
        long pid = ProcessHandle.current().pid();
        net = "127." + (20 + pid % 200) + "." + pid / 200 % 250 + ".";
        store = new Store(net + "250");
        store.putConfig("{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeoutS\","
                + "\"targetLatencyS\",\"priority\",\"maxAttempts\",\"public\",\"service\"],\"rows\":["
                + "[\"order\",\"" + HOST + "\",\"/order/\",\"non_idempotent\"," + timeoutS + ",1.5,0,2,false,\"orders\"],"
                + "[\"upload\",\"" + HOST + "\",\"/upload/\",\"non_idempotent\",10,1.5,0,2,false,\"archive\"],"
                + "[\"read\",\"" + HOST + "\",\"/read/\",\"idempotent\"," + timeoutS + ",1.5,1,2,false,\"orders\"]]},"
                + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],"
                + "\"rows\":[[\"orders\",\"/health\",748,\"h1\",false],[\"archive\",\"/health\",748,\"h1\",false]]},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
                + "\"idleTimeoutS\":15},\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
                + "\"burst\"],\"rows\":[[\"acme\",[\"" + KEY + "\"],1,0,0],"
                + "[\"busy\",[\"" + LIMITED_KEY + "\"],1,5,5]]},\"baseVersion\":\"r5\"}");
        for (int i = 0; i < size; i++) {
            machines.add(new Machine(
                    record, folder, "side-" + (i + 1), net + (i + 1), "zone-" + i % 2, "orders", store.address(), runs, work));
        }
    }

    /** Adds a machine of the service "archive", before the start. */
    Machine addArchive(Machine.Work work) throws IOException {
        Machine machine = new Machine(
                record, folder, "side-archive", net + "200", "zone-0", "archive", store.address(), runs, work);
        machines.add(machine);
        return machine;
    }

    /** Starts all nodes and waits until all of them are ready and know each other. */
    void start() throws IOException, InterruptedException {
        for (Machine machine : machines) {
            machine.startNode();
        }
        long startMs = record.nowMs();
        for (Machine machine : machines) {
            while (!machine.isReady()) {
                if (record.nowMs() - startMs > START_TIMEOUT_MS || !machine.process().isAlive()) {
                    throw new IllegalStateException(machine.name + " did not become ready");
                }
                Thread.sleep(100);
            }
        }
        // Until the bounds of the pages bind: contactS is 3.
        Thread.sleep(4_000);
        record.add("all nodes are ready");
    }

    static byte[] toRequest(String method, String path, String id, long deadlineMs, byte[] body) {
        return toRequest(KEY, method, path, id, deadlineMs, body);
    }

    static byte[] toRequest(String key, String method, String path, String id, long deadlineMs, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Cranberryarch-Attempt-Id: " + id
                + "\r\nX-Cranberryarch-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n"
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    @Override
    public void close() throws IOException {
        for (Machine machine : machines) {
            machine.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
