import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a case: what was sent, answered and run, with the time since the start in seconds. */
final class Recorder implements AutoCloseable {

    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void add(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
        out.flush();
    }

    /** Records a line and prints it as well. */
    void say(String text) {
        add(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
