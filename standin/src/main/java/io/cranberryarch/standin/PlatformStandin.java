package io.cranberryarch.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.store.PlatformJson;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.Transaction;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * A stand-in for the platform that serves a table and an object store over HTTP and injects faults: delays, errors, and
 * answers lost after a write.
 *
 * <p>Faults are set with {@link #setFaults} or {@code POST /faults?down=true&delay-ms=50&lose-answers=1}.
 */
public final class PlatformStandin implements AutoCloseable {

    private final InMemoryPlatform platform = new InMemoryPlatform();
    private final StandinServer server;
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    /**
     * Creates a stand-in that is not started.
     *
     * @param port the port, 0 to let the operating system choose
     */
    public PlatformStandin(int port) {
        this.server = new StandinServer(port, new PlatformHandler());
    }

    /**
     * Starts the server.
     *
     * @return this stand-in
     * @throws Exception if the port cannot be bound
     */
    public PlatformStandin start() throws Exception {
        server.start();
        return this;
    }

    /**
     * Returns the address.
     *
     * @return the address of the running server
     */
    public URI getAddress() {
        return URI.create("http://127.0.0.1:" + server.getPort());
    }

    /**
     * Returns the stores, for access without injected faults.
     *
     * @return the stores
     */
    public InMemoryPlatform getPlatform() {
        return platform;
    }

    /**
     * Sets the faults to inject.
     *
     * @param newFaults the faults of all later requests, not {@code null}
     */
    public void setFaults(PlatformFaults newFaults) {
        faults = newFaults;
    }

    @Override
    public void close() throws Exception {
        server.close();
    }

    /** Answers requests, subject to the configured faults. */
    private final class PlatformHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String path = Request.getPathInContext(request);
            Fields query = Request.extractQueryParameters(request);
            if (path.equals("/faults")) {
                faults = PlatformFaults.of(query);
                write(response, callback, 200, new byte[0]);
                return true;
            }
            PlatformFaults activeFaults = faults;
            if (activeFaults.delayMs() > 0) {
                Thread.sleep(activeFaults.delayMs());
            }
            if (activeFaults.isDown()) {
                write(response, callback, 503, new byte[0]);
                return true;
            }
            byte[] body = StandinBodies.read(request).get();
            Optional<byte[]> answer = answer(request.getMethod() + " " + path, query, body);
            if (activeFaults.isAnswerLost()) {
                callback.failed(new IOException("answer dropped by an injected fault"));
                return true;
            }
            write(response, callback, answer.isPresent() ? 200 : toEmptyResultStatus(path), answer.orElse(new byte[0]));
            return true;
        }

        private int toEmptyResultStatus(String path) {
            return path.equals("/table/commit") ? 409 : 404;
        }

        private Optional<byte[]> answer(String resource, Fields query, byte[] body) throws IOException {
            return switch (resource) {
                case "GET /table/row" -> readRow(query.getValue("key"));
                case "GET /table/rows" -> Optional.of(toJson(readRows(query)));
                case "POST /table/commit" ->
                    platform.commit(toTransaction(body)) ? Optional.of(new byte[0]) : Optional.empty();
                case "PUT /objects/item" -> {
                    platform.put(query.getValue("name"), body);
                    yield Optional.of(new byte[0]);
                }
                case "DELETE /objects/item" -> {
                    platform.delete(query.getValue("name"));
                    yield Optional.of(new byte[0]);
                }
                case "GET /objects/item" -> platform.getObject(query.getValue("name"));
                case "GET /objects/names" ->
                    Optional.of(toJson(new PlatformJson.NamesBody(platform.listObjects(query.getValue("prefix")))));
                default -> Optional.empty();
            };
        }

        private Optional<byte[]> readRow(String key) throws JsonProcessingException {
            Optional<Row> row = platform.get(key);
            return row.isPresent() ? Optional.of(toJson(row.get())) : Optional.empty();
        }

        private PlatformJson.RowsBody readRows(Fields query) {
            int limit = Integer.parseInt(query.getValue("limit"));
            return new PlatformJson.RowsBody(platform.list(query.getValue("prefix"), query.getValue("after"), limit));
        }

        private Transaction toTransaction(byte[] body) throws IOException {
            PlatformJson.CommitBody commit = PlatformJson.MAPPER.readValue(body, PlatformJson.CommitBody.class);
            Transaction transaction = new Transaction();
            commit.conditions().forEach(item -> transaction.requireVersion(item.key(), item.version()));
            commit.writes().forEach(item -> transaction.put(item.key(), item.value()));
            return transaction;
        }

        private byte[] toJson(Object body) throws JsonProcessingException {
            return PlatformJson.MAPPER.writeValueAsBytes(body);
        }

        private void write(Response response, Callback callback, int status, byte[] body) {
            response.setStatus(status);
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }
}
