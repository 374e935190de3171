import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a server reads the bodies of its requests slowly, while clients of other machines upload to it one after the
 * other. Checks that the process of the node beside it goes on and that no order which it passed on is cut off.
 */
final class SlowServer {

    private static final int ORDER_CLIENTS = 20;
    private static final int UPLOADS = 16;
    private static final int UPLOAD_BYTES = 4 * 1024 * 1024;
    private static final long UPLOAD_INTERVAL_MS = 250;
    private static final int SLOW_BYTES_PER_S = 256 * 1024;
    private static final int MAX_CUTS = 3;
    private static final long WORK_MS = 300;
    private static final long UPLOADS_AT_MS = 4_000;
    private static final long END_MS = 18_000;

    private SlowServer() {}

    public static void main(String[] args) throws Exception {
        int status = 2;
        try (Recorder record = new Recorder(Path.of(args[0]))) {
            try {
                status = run(record, !"0".equals(System.getenv("TROUBLE")));
            } catch (Exception e) {
                record.say("could not run: " + e);
            }
        }
        System.exit(status);
    }

    private static int run(Recorder record, boolean isTrouble) throws Exception {
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        Fleet fleet = new Fleet(record, 3, 5, (id, body) -> {
            Thread.sleep(WORK_MS);
            return ("ran " + id).getBytes(StandardCharsets.US_ASCII);
        });
        try (fleet) {
            Machine archive = fleet.addArchive((id, body) -> ("kept " + id).getBytes(StandardCharsets.US_ASCII));
            fleet.start();
            long startMs = record.nowMs();
            for (int i = 0; i < ORDER_CLIENTS; i++) {
                Machine.spawn("client", new OrderClient(record, archive, "order-" + i, startMs + END_MS, statuses));
            }
            Thread.sleep(UPLOADS_AT_MS);
            if (isTrouble) {
                archive.readSlowly(SLOW_BYTES_PER_S);
            }
            record.say("the server of " + archive.name + " reads bodies at "
                    + (isTrouble ? SLOW_BYTES_PER_S + " bytes a second" : "full speed") + "; " + UPLOADS + " uploads of "
                    + UPLOAD_BYTES + " bytes begin at the other machines, one every " + UPLOAD_INTERVAL_MS + " ms");
            long uploadAtMs = record.nowMs();
            Machine.spawn("uploads", () -> startUploads(record, fleet.machines));
            int ends = 0;
            while (record.nowMs() < startMs + END_MS) {
                for (Machine machine : fleet.machines) {
                    if (!machine.process().isAlive()) {
                        ends++;
                        record.say("the process of " + machine.name + " ended by itself, exit code "
                                + machine.process().exitValue() + ", " + (record.nowMs() - uploadAtMs)
                                + " ms after the uploads began");
                        Thread.sleep(1_000);
                        machine.startNode();
                    }
                }
                Thread.sleep(20);
            }
            List<OrderClient.Cut> cuts = OrderClient.CUTS.stream()
                    .filter(cut -> fleet.runs.containsKey(cut.id()))
                    .toList();
            cuts.forEach(cut -> record.add("LOST " + cut.id() + ", passed on to the server of "
                    + fleet.runs.get(cut.id()) + ", cut off " + (cut.cutAtMs() - cut.sentAtMs()) + " ms after it was sent"));
            record.say("orders answered, by status: " + new TreeMap<>(statuses));
            record.say("orders on kept connections that were passed on and cut off without an answer: " + cuts.size()
                    + " (LOST allows " + MAX_CUTS + "); ends of processes by themselves: " + ends);
            return cuts.size() > MAX_CUTS ? 1 : 0;
        }
    }

    private static void startUploads(Recorder record, List<Machine> machines) {
        for (int i = 0; i < UPLOADS; i++) {
            String id = "upload-" + i;
            Machine machine = machines.get(i % (machines.size() - 1));
            Machine.spawn("upload", () -> upload(record, machine, id));
            try {
                Thread.sleep(UPLOAD_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void upload(Recorder record, Machine machine, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.entryPort), 1_000);
            socket.setSoTimeout(10_000);
            record.add("sent " + id + " to " + machine.name + ", body " + UPLOAD_BYTES);
            socket.getOutputStream().write(Fleet.toRequest("POST", "/upload/" + id, id, 10_000, new byte[UPLOAD_BYTES]));
            Http.Response response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            record.add("answered " + id + " " + response.head().status());
        } catch (IOException e) {
            record.add("no-answer " + id + " " + e.getMessage());
        }
    }
}
