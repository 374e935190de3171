import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {

    /** The head of a message; header names are case-insensitive. */
    record Head(String firstLine, Map<String, String> headers) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        int length() {
            return header("Content-Length").isEmpty() ? 0 : Integer.parseInt(header("Content-Length").strip());
        }

        boolean isClosing() {
            return header("Connection").toLowerCase(Locale.ROOT).contains("close");
        }
    }

    /** A response with its complete body. */
    record Response(Head head, byte[] body) {}

    private Http() {}

    /** Reads a head, or returns null at the end of the stream before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    /** Reads a response; a connection that ends before its last byte gives an exception. */
    static Response readResponse(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("closed without an answer");
        }
        if (head.status() / 100 == 1) {
            return readResponse(in);
        }
        byte[] body = in.readNBytes(head.length());
        if (body.length < head.length()) {
            throw new EOFException("answer cut off");
        }
        return new Response(head, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("head cut off");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
