import java.io.BufferedInputStream;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine: a node process, started as the deploy file says, and the server beside it with its heartbeats. */
final class Machine implements AutoCloseable {

    /** What a server does with one request that it runs. */
    interface Work {
        /** Returns the body of the answer. */
        byte[] run(String id, byte[] body) throws InterruptedException;
    }

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)\\}\\}");
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int SLOW_PIECE_BYTES = 8 * 1024;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final String ip;
    final String service;
    final String instance;
    final int entryPort;
    final int readyPort;
    final int controlPort;
    private final Recorder record;
    private final Path folder;
    private final String settings;
    private final ServerSocket server;
    private final Work work;
    private final Map<String, String> runs;
    private final long bornMs = System.currentTimeMillis();
    private long sequence;
    private volatile boolean isClosed;
    private volatile Process process;
    private volatile boolean isLogReaderStalled;
    private volatile int readBytesPerS;

    /** @param runs receives the name of this machine for each request that its server begins to run */
    Machine(
            Recorder record,
            Path folder,
            String name,
            String ip,
            String zone,
            String service,
            String storeAddress,
            Map<String, String> runs,
            Work work)
            throws IOException {
        this.record = record;
        this.folder = folder;
        this.name = name;
        this.ip = ip;
        this.service = service;
        this.instance = "i-" + name;
        this.runs = runs;
        this.work = work;
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(ip, 0), 500);
        List<Integer> ports = findFreePorts(ip, 6);
        entryPort = ports.get(1);
        readyPort = ports.get(2);
        controlPort = ports.get(3);
        Map<String, String> values = new TreeMap<>();
        values.put("nodeName", name);
        values.put("zone", zone);
        values.put("service", service);
        values.put("ip", ip);
        values.put("listen.inbound", ip + ":" + ports.get(0));
        values.put("listen.outbound", ip + ":" + entryPort);
        values.put("listen.ready", ip + ":" + readyPort);
        values.put("listen.control", ip + ":" + controlPort);
        values.put("internalPorts.0", String.valueOf(ports.get(4)));
        values.put("appAddr", ip + ":" + server.getLocalPort());
        values.put("heartbeatS", "1.5");
        values.put("platform.address", storeAddress);
        values.put("seeds", "");
        values.put("bounds.graceS", "6");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.budgetSlack", "50");
        values.put("bounds.quotaWindowS", "5");
        values.put("bounds.quotaOver", "0.1");
        values.put("bounds.quotaSlack", "20");
        settings = render(Files.readString(Path.of("deploy/node.ini")), values);
        spawn("server " + name, this::accept);
        spawn("heartbeats " + name, this::sendHeartbeats);
    }

    static List<Integer> findFreePorts(String ip, int count) throws IOException {
        List<ServerSocket> bound = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            bound.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : bound) {
            socket.close();
        }
        return ports;
    }

    private static String render(String template, Map<String, String> values) {
        Matcher placeholder = PLACEHOLDER.matcher(template);
        StringBuilder rendered = new StringBuilder();
        while (placeholder.find()) {
            String value = values.get(placeholder.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + placeholder.group());
            }
            placeholder.appendReplacement(rendered, Matcher.quoteReplacement(value));
        }
        return placeholder.appendTail(rendered).toString();
    }

    static void spawn(String threadName, Runnable task) {
        Thread thread = new Thread(task, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts the node with the command of the deploy file. */
    void startNode() throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".ini"), settings);
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no command in the deploy file");
        }
        File log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .redirectErrorStream(true);
        builder.environment().put("CRANBERRYARCH_CONFIG", file.toString());
        Process started = builder.start();
        process = started;
        spawn("log of " + name, () -> copyLog(started.getInputStream(), log));
        record.add("node " + name + " started");
    }

    /** Stops or resumes reading the node's output. */
    void stallLogReader(boolean isStalled) {
        isLogReaderStalled = isStalled;
    }

    /** Makes the server read bodies slowly from now on. */
    void readSlowly(int bytesPerS) {
        readBytesPerS = bytesPerS;
    }

    private byte[] readBody(InputStream in, int length) throws IOException, InterruptedException {
        int bytesPerS = readBytesPerS;
        if (bytesPerS == 0) {
            return in.readNBytes(length);
        }
        byte[] body = new byte[length];
        int total = 0;
        while (total < length) {
            int count = in.read(body, total, Math.min(SLOW_PIECE_BYTES, length - total));
            if (count < 0) {
                return new byte[0];
            }
            total += count;
            Thread.sleep(count * 1_000L / bytesPerS);
        }
        return body;
    }

    private void copyLog(InputStream output, File log) {
        byte[] piece = new byte[4_096];
        try (FileOutputStream copy = new FileOutputStream(log, true)) {
            while (true) {
                if (isLogReaderStalled) {
                    Thread.sleep(20);
                    continue;
                }
                int count = output.read(piece);
                if (count < 0) {
                    return;
                }
                copy.write(piece, 0, count);
            }
        } catch (IOException e) {
            // The process was ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends bytes as a heartbeat to the control address, as another writer might. */
    void sendHeartbeat(byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, controlPort), 1_000);
            socket.setSoTimeout(1_000);
            String head = "POST /instances/" + instance + "/heartbeat HTTP/1.1\r\nHost: " + ip
                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + body.length
                    + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            Http.readResponse(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            // The node is down or hangs; the next heartbeat holds the whole state.
        }
    }

    Process process() {
        return process;
    }

    /** Returns the last lines of the node's output that contain a text. */
    List<String> findInLog(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
            if (line.contains(text)) {
                found.add(line);
            }
        }
        return found;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream()
                    .write(("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return Http.readResponse(new BufferedInputStream(socket.getInputStream()))
                            .head()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void sendHeartbeats() {
        while (!isClosed) {
            sequence++;
            String body = "{\"born\":" + bornMs + ",\"address\":\"" + ip + ":" + server.getLocalPort()
                    + "\",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":108},"
                    + "\"status\":{\"state\":\"ready\",\"seq\":" + sequence + ",\"coldLeftS\":0}}";
            sendHeartbeat(body.getBytes(StandardCharsets.US_ASCII));
            try {
                Thread.sleep(1_500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = server.accept();
                spawn("connection of " + name, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String current = "";
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = readBody(in, head.length());
                if (body.length < head.length()) {
                    return;
                }
                if (head.firstLine().startsWith("GET /health")) {
                    answer(socket, "200 OK", "X-Cranberryarch-Instance-Id: " + instance + "\r\n", new byte[0]);
                    continue;
                }
                String id = head.header("X-Cranberryarch-Attempt-Id");
                String echo = "X-Cranberryarch-Attempt-Id: " + id + "\r\n";
                if (!head.header("X-Cranberryarch-Expect-Instance").equals(instance)) {
                    answer(socket, "421 Misdirected", echo + "X-Cranberryarch-Instance-Id: " + instance + "\r\n", new byte[0]);
                    continue;
                }
                current = id;
                runs.merge(id, name, (before, now) -> before + "," + now);
                record.add("run " + id + " at " + instance + " body " + body.length);
                byte[] result = work.run(id, body);
                answer(socket, "200 OK", echo + "X-Cranberryarch-Response-Stamp: " + instance + "." + id + "\r\n", result);
                record.add("server-answered " + id);
                current = "";
            }
        } catch (IOException e) {
            if (!current.isEmpty()) {
                record.add("server-cut-off " + current + " " + e.getMessage());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(Socket socket, String status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        socket.getOutputStream().write(message);
    }

    /** Ends the node and the server. */
    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
        Process last = process;
        if (last != null) {
            last.destroyForcibly();
            try {
                last.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static Map<String, String> newRuns() {
        return new ConcurrentHashMap<>();
    }
}
