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
 * What one process counted in a few minutes, as it is written to the object store.
 *
 * @param instance the instance
 * @param incarnation the start of the process in milliseconds
 * @param sequence the number of the increment in its process, from 0 without gaps
 * @param zone the availability zone of the entry
 * @param startMs the wall clock time from which on it counts, in milliseconds
 * @param untilMs the wall clock time up to which it is whole, in milliseconds
 * @param isClosed whether its counts do not change any more
 * @param isLast whether it was written on a graceful stop
 * @param lost requests dropped before this increment since the one before
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
     * Writes the increment.
     *
     * @return its content in the object store
     */
    public byte[] toBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        // Written field by field: a node writes few increments, and binding the types by reflection would stall it.
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
     * Reads an increment.
     *
     * @param content its content in the object store
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
     * A count of one minute.
     *
     * @param minute the minute of the wall clock since 1970
     * @param account the client account, empty on routes open to all
     * @param kind the kind of request
     * @param outcome how the requests ended
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
