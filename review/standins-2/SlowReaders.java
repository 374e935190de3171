import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: clients fetch one large answer each and read it slowly, while others send small orders. Checks that the node's
 * process goes on and that no order which it passed on is cut off.
 */
final class SlowReaders {

    private static final int CLIENTS = 20;
    private static final int MAX_CUTS = 3;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final long WORK_MS = 300;
    private static final long READ_WORK_MS = 20;
    private static final int READERS = 24;
    private static final int ANSWER_BYTES = 6 * 1024 * 1024;
    private static final int READ_BYTES_PER_S = 640 * 1024;
    private static final long READER_INTERVAL_MS = 125;
    private static final long DEADLINE_MS = 10_000;
    private static final long READERS_AT_MS = 6_000;
    private static final long END_MS = 14_000;

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        int bytesPerS = "0".equals(System.getenv("TROUBLE")) ? 0 : READ_BYTES_PER_S;
        int status = 2;
        try (Recorder record = new Recorder(Path.of(args[0]))) {
            try {
                status = run(record, bytesPerS);
            } catch (Exception e) {
                record.say("could not run: " + e);
            }
        }
        System.exit(status);
    }

    private static int run(Recorder record, int bytesPerS) throws Exception {
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        Fleet fleet = new Fleet(record, 3, 5, (id, body) -> {
            Thread.sleep(id.startsWith("order") ? WORK_MS : READ_WORK_MS);
            return id.startsWith("order") ? ("ran " + id).getBytes() : new byte[ANSWER_BYTES];
        });
        try (fleet) {
            fleet.start();
            Machine entry = fleet.machines.get(0);
            long startMs = record.nowMs();
            for (int i = 0; i < CLIENTS; i++) {
                Machine.spawn("client", new OrderClient(record, entry, "order-" + i, startMs + END_MS, statuses));
            }
            Thread.sleep(READERS_AT_MS);
            record.say(READERS + " clients fetch an answer of " + ANSWER_BYTES + " bytes each from " + entry.name
                    + ", one every " + READER_INTERVAL_MS + " ms, and read it at "
                    + (bytesPerS == 0 ? "full speed" : bytesPerS + " bytes a second"));
            long readersAtMs = record.nowMs();
            Machine.spawn("readers", () -> startReaders(record, entry, bytesPerS));
            int ends = 0;
            long startedAtMs = 0;
            while (record.nowMs() < startMs + END_MS) {
                if (!entry.process().isAlive()) {
                    ends++;
                    record.say("the process of " + entry.name + " ended by itself, exit code "
                            + entry.process().exitValue() + ", " + (record.nowMs() - readersAtMs) + " ms after the readers began");
                    entry.findInLog("OutOfMemory").forEach(line -> record.add("its output: " + line));
                    Thread.sleep(1_000);
                    entry.startNode();
                    startedAtMs = record.nowMs();
                }
                Thread.sleep(20);
            }
            record.add("the last start was at " + startedAtMs + " ms");
            List<OrderClient.Cut> cuts = OrderClient.CUTS.stream()
                    .filter(cut -> fleet.runs.containsKey(cut.id()))
                    .toList();
            cuts.forEach(cut -> record.add("LOST " + cut.id() + ", passed on to the server of "
                    + fleet.runs.get(cut.id()) + ", cut off " + (cut.cutAtMs() - cut.sentAtMs()) + " ms after it was sent"));
            record.say("orders answered, by status: " + new TreeMap<>(statuses));
            record.say("orders on kept connections that were passed on and cut off without an answer: " + cuts.size()
                    + " (LOST allows " + MAX_CUTS + "); ends of the process by itself: " + ends);
            return cuts.size() > MAX_CUTS ? 1 : 0;
        }
    }

    private static void startReaders(Recorder record, Machine machine, int bytesPerS) {
        for (int i = 0; i < READERS; i++) {
            String id = "read-" + i;
            Machine.spawn("reader", () -> read(record, machine, id, bytesPerS));
            try {
                Thread.sleep(READER_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void read(Recorder record, Machine machine, String id, int bytesPerS) {
        long startMs = record.nowMs();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(machine.ip, machine.entryPort), 1_000);
            socket.setSoTimeout((int) DEADLINE_MS);
            record.add("sent " + id + " to " + machine.name);
            socket.getOutputStream().write(Fleet.toRequest("GET", "/read/" + id, id, DEADLINE_MS, new byte[0]));
            InputStream in = new BufferedInputStream(new SlowStream(socket.getInputStream(), bytesPerS), 1_024);
            Http.Response response = Http.readResponse(in);
            record.add("answered " + id + " " + response.head().status() + " body " + response.body().length + " after "
                    + (record.nowMs() - startMs) + " ms");
        } catch (IOException e) {
            record.add("no-answer " + id + " " + e.getMessage());
        }
    }

    /** A stream that gives at most some bytes a second. */
    private static final class SlowStream extends FilterInputStream {

        private static final int PIECE_BYTES = 4 * 1024;
        private final int bytesPerS;

        SlowStream(InputStream in, int bytesPerS) {
            super(in);
            this.bytesPerS = bytesPerS;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (bytesPerS == 0) {
                return super.read(bytes, offset, length);
            }
            int count = super.read(bytes, offset, Math.min(length, PIECE_BYTES));
            try {
                Thread.sleep(Math.max(0, count) * 1_000L / bytesPerS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return count;
        }
    }
}
