import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client that sends one order after the other on a kept connection, and opens a new one after a failure. Orders are
 * not repeated.
 */
final class OrderClient implements Runnable {

    /** An order whose connection ended without a complete answer, though the connection had carried answers before. */
    record Cut(String id, long sentAtMs, long cutAtMs) {}

    static final List<Cut> CUTS = new CopyOnWriteArrayList<>();

    private final Recorder record;
    private final Machine machine;
    private final String name;
    private final long endMs;
    private final Map<Integer, Integer> statuses;

    OrderClient(Recorder record, Machine machine, String name, long endMs, Map<Integer, Integer> statuses) {
        this.record = record;
        this.machine = machine;
        this.name = name;
        this.endMs = endMs;
        this.statuses = statuses;
    }

    @Override
    public void run() {
        int number = 0;
        while (record.nowMs() < endMs) {
            int answered = 0;
            String id = "";
            long sentAtMs = 0;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(machine.ip, machine.entryPort), 1_000);
                socket.setSoTimeout(8_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isOpen = true;
                while (isOpen && record.nowMs() < endMs) {
                    id = name + "-" + ++number;
                    sentAtMs = record.nowMs();
                    record.add("sent " + id + " to " + machine.name);
                    socket.getOutputStream().write(Fleet.toRequest("POST", "/order/" + id, id, 5_000, new byte[1_200]));
                    Http.Response response = Http.readResponse(in);
                    answered++;
                    statuses.merge(response.head().status(), 1, Integer::sum);
                    record.add("answered " + id + " " + response.head().status() + " stamp "
                            + response.head().header("X-Cranberryarch-Response-Stamp"));
                    isOpen = !response.head().isClosing();
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                record.add("no-answer " + id + " " + e.getMessage());
                if (answered > 0) {
                    CUTS.add(new Cut(id, sentAtMs, record.nowMs()));
                }
                try {
                    Thread.sleep(200);
                } catch (InterruptedException interrupted) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
