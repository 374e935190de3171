import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: the reader of a node's output stalls for some seconds, while a tenant sends more than its quota and a heartbeat
 * of another writer arrives that can't be read. Checks that requests are answered at their route's timeoutS.
 */
final class StalledLogReader {

    private static final int CLIENTS = 10;
    private static final double TIMEOUT_S = 1;
    private static final long WORK_MS = 100;
    private static final long DEADLINE_MS = 5_000;
    private static final long STALL_AT_MS = 4_000;
    private static final long HEARTBEAT_AT_MS = 24_000;
    private static final long STALL_END_MS = 44_000;
    private static final long END_MS = 50_000;
    private static final int MIN_LATE = 8;

    private record Outcome(String id, long sentAtMs, long answeredAtMs) {

        boolean isUnansweredAfter(long ms) {
            return answeredAtMs - sentAtMs > ms;
        }
    }

    private static final List<Outcome> OUTCOMES = new CopyOnWriteArrayList<>();

    private StalledLogReader() {}

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
        Fleet fleet = new Fleet(record, 3, TIMEOUT_S, (id, body) -> {
            Thread.sleep(WORK_MS);
            return ("ran " + id).getBytes(StandardCharsets.US_ASCII);
        });
        try (fleet) {
            fleet.start();
            Machine entry = fleet.machines.get(0);
            long startMs = record.nowMs();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "order-" + i;
                Machine.spawn("client", () -> send(record, entry, name, Fleet.KEY, "POST", "/order/", 50, startMs + END_MS));
            }
            for (int i = 0; i < CLIENTS; i++) {
                String name = "busy-" + i;
                Machine.spawn("busy", () -> send(record, entry, name, Fleet.LIMITED_KEY, "GET", "/read/", 100, startMs + END_MS));
            }
            Thread.sleep(STALL_AT_MS);
            if (isTrouble) {
                entry.stallLogReader(true);
                record.say("the reader of the output of " + entry.name + " stalls for " + (STALL_END_MS - STALL_AT_MS) + " ms");
            }
            Thread.sleep(HEARTBEAT_AT_MS - STALL_AT_MS);
            record.say("a heartbeat that can't be read goes to " + entry.name + ", " + (HEARTBEAT_AT_MS - STALL_AT_MS)
                    + " ms later; ready before: " + entry.isReady());
            entry.sendHeartbeat("{\"born\":".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(2_000);
            record.say("ready 2 s after it: " + entry.isReady());
            Thread.sleep(STALL_END_MS - HEARTBEAT_AT_MS - 2_000);
            entry.stallLogReader(false);
            Thread.sleep(END_MS - STALL_END_MS);
            record.say("ready " + (END_MS - STALL_END_MS) + " ms after the stall: " + entry.isReady());
            return judge(record);
        }
    }

    private static int judge(Recorder record) {
        long timeoutMs = (long) (TIMEOUT_S * 1_000);
        List<Outcome> orders =
                OUTCOMES.stream().filter(outcome -> outcome.id.startsWith("order")).toList();
        List<Outcome> unanswered =
                orders.stream().filter(outcome -> outcome.isUnansweredAfter(timeoutMs)).toList();
        List<Outcome> late = orders.stream()
                .filter(outcome -> outcome.isUnansweredAfter(timeoutMs + 500))
                .toList();
        late.forEach(outcome -> record.add("CONFIG " + outcome.id + " without an answer "
                + (outcome.answeredAtMs - outcome.sentAtMs) + " ms after it was sent at " + outcome.sentAtMs));
        record.say(orders.size() + " orders; unanswered at timeoutS: " + unanswered.size() + ", half a second later: "
                + late.size());
        return late.size() >= MIN_LATE && late.size() * 2 > unanswered.size() ? 1 : 0;
    }

    /** Sends requests on a kept connection, and on a new one after a failure. */
    private static void send(
            Recorder record, Machine machine, String name, String key, String method, String prefix, long pauseMs, long endMs) {
        int number = 0;
        while (record.nowMs() < endMs) {
            String id = "";
            long sentAtMs = record.nowMs();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(machine.ip, machine.entryPort), 1_000);
                socket.setSoTimeout((int) DEADLINE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isOpen = true;
                while (isOpen && record.nowMs() < endMs) {
                    id = name + "-" + ++number;
                    sentAtMs = record.nowMs();
                    record.add("sent " + id);
                    byte[] body = new byte[method.equals("POST") ? 1_200 : 0];
                    socket.getOutputStream().write(Fleet.toRequest(key, method, prefix + id, id, DEADLINE_MS, body));
                    Http.Response response = Http.readResponse(in);
                    OUTCOMES.add(new Outcome(id, sentAtMs, record.nowMs()));
                    record.add("answered " + id + " " + response.head().status());
                    isOpen = !response.head().isClosing();
                    Thread.sleep(pauseMs);
                }
            } catch (IOException e) {
                record.add("no-answer " + id + " " + e.getMessage());
                if (!id.isEmpty()) {
                    OUTCOMES.add(new Outcome(id, sentAtMs, record.nowMs()));
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
