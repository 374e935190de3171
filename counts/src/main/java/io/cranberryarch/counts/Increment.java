package io.cranberryarch.counts;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.store.PlatformException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * The counts of one process over a few minutes, as written to the object store.
 *
 * @param instance the instance
 * @param incarnation the start of the process in milliseconds since 1970
 * @param sequence the number of the increment in its process, starting at 0 without gaps
 * @param zone the availability zone of the entry
 * @param startMs the wall clock time at which the increment starts, in milliseconds
 * @param untilMs the wall clock time up to which the increment is complete, in milliseconds
 * @param isClosed whether its counts no longer change
 * @param isLast whether it was written on a graceful shutdown
 * @param lost the number of requests whose counts were dropped since the previous increment
 * @param rows the counts
 */
public record Increment(
        String instance,
        long incarnation,
        long sequence,
        String zone,
        long startMs,
        long untilMs,
        boolean isClosed,
        boolean isLast,
        long lost,
        List<Row> rows) {

    private static final JsonFactory JSON = new JsonFactory();

    /** Copies the rows. */
    public Increment {
        rows = List.copyOf(rows);
    }

    /**
     * Serializes the increment.
     *
     * @return the content of its object, compressed JSON
     */
    public byte[] toBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        // Writes field by field: a node writes few increments, and data binding by reflection would stall it.
        try (JsonGenerator out = JSON.createGenerator(new GZIPOutputStream(bytes))) {
            out.writeStartObject();
            out.writeStringField("instance", instance);
            out.writeNumberField("incarnation", incarnation);
            out.writeNumberField("sequence", sequence);
            out.writeStringField("zone", zone);
            out.writeNumberField("startMs", startMs);
            out.writeNumberField("untilMs", untilMs);
            out.writeBooleanField("isClosed", isClosed);
            out.writeBooleanField("isLast", isLast);
            out.writeNumberField("lost", lost);
            out.writeArrayFieldStart("rows");
            for (Row row : rows) {
                row.write(out);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Parses an increment.
     *
     * @param content the content of its object, not {@code null}
     * @return the increment
     * @throws PlatformException if the content is not that of an increment
     */
    public static Increment of(byte[] content) throws PlatformException {
        return read(content, Increment.class);
    }

    static byte[] toBytes(Object body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream out = new GZIPOutputStream(bytes)) {
            ApiJson.MAPPER.writeValue(out, body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static <T> T read(byte[] content, Class<T> type) throws PlatformException {
        try (InputStream in = new GZIPInputStream(new ByteArrayInputStream(content))) {
            return ApiJson.MAPPER.readValue(in, type);
        } catch (IOException e) {
            throw new PlatformException("counts cannot be read", e);
        }
    }

    /**
     * The count of one series.
     *
     * @param minute the minute of the wall clock since 1970
     * @param account the client account, empty on routes open to all
     * @param kind the kind of request
     * @param outcome the outcome of the requests
     * @param count the number of requests
     */
    public record Row(long minute, String account, String kind, Outcome outcome, long count) {

        private void write(JsonGenerator out) throws IOException {
            out.writeStartObject();
            out.writeNumberField("minute", minute);
            out.writeStringField("account", account);
            out.writeStringField("kind", kind);
            out.writeStringField("outcome", outcome.name());
            out.writeNumberField("count", count);
            out.writeEndObject();
        }
    }
}
