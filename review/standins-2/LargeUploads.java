import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: some clients upload bodies well below maxBodyBytes at the same time, while others send small orders. Checks that
 * the node's process goes on and that no order which it passed on is cut off.
 */
final class LargeUploads {

    private static final int CLIENTS = 20;
    private static final int MAX_CUTS = 3;
    private static final long WORK_MS = 300;
    private static final long UPLOADS_AT_MS = 6_000;
    private static final long END_MS = 14_000;

    private LargeUploads() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int uploads = 8;
        int uploadBytes = isTrouble ? 8 * 1024 * 1024 : 8 * 1024;
        int status = 2;
        try (Recorder record = new Recorder(Path.of(args[0]))) {
            try {
                status = run(record, uploads, uploadBytes);
            } catch (Exception e) {
                record.say("could not run: " + e);
            }
        }
        System.exit(status);
    }

    private static int run(Recorder record, int uploads, int uploadBytes) throws Exception {
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        Fleet fleet = new Fleet(record, 3, 5, (id, body) -> {
            Thread.sleep(WORK_MS);
            return ("ran " + id).getBytes();
        });
        try (fleet) {
            fleet.start();
            Machine entry = fleet.machines.get(0);
            long startMs = record.nowMs();
            for (int i = 0; i < CLIENTS; i++) {
                Machine.spawn("client", new OrderClient(record, entry, "order-" + i, startMs + END_MS, statuses));
            }
            Thread.sleep(UPLOADS_AT_MS);
            record.say(uploads + " clients upload " + uploadBytes + " bytes each to " + entry.name);
            long uploadAtMs = record.nowMs();
            for (int i = 0; i < uploads; i++) {
                String id = "upload-" + i;
                Machine.spawn("upload", () -> upload(record, entry, id, new byte[uploadBytes]));
            }
            int ends = 0;
            long startedAtMs = 0;
            while (record.nowMs() < startMs + END_MS) {
                if (!entry.process().isAlive()) {
                    ends++;
                    record.say("the process of " + entry.name + " ended by itself, exit code "
                            + entry.process().exitValue() + ", " + (record.nowMs() - uploadAtMs) + " ms after the uploads began");
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

    private static void upload(Recorder record, Machine machine, String id, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.entryPort), 1_000);
            socket.setSoTimeout(8_000);
            record.add("sent " + id + " to " + machine.name + ", body " + body.length);
            socket.getOutputStream().write(Fleet.toRequest("POST", "/order/" + id, id, 5_000, body));
            Http.Response response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            record.add("answered " + id + " " + response.head().status());
        } catch (IOException e) {
            record.add("no-answer " + id + " " + e.getMessage());
        }
    }
}
