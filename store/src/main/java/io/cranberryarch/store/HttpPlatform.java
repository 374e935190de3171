package io.cranberryarch.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.EOFException;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** Client of the platform's stores over HTTP. Instances are thread-safe and block the calling thread. */
public final class HttpPlatform implements TableStore, ObjectStore {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final URI address;
    private final long timeoutMs;

    /**
     * Creates a client.
     *
     * @param client a started HTTP client, owned by the caller
     * @param address the URL of the platform
     * @param timeoutMs the maximum time to wait for an answer, in milliseconds
     */
    public HttpPlatform(HttpClient client, URI address, long timeoutMs) {
        this.client = client;
        this.address = address;
        this.timeoutMs = timeoutMs;
    }

    @Override
    public Optional<Row> get(String key) throws PlatformException {
        ContentResponse response = send("GET", "/table/row?key=" + encode(key), Optional.empty());
        return response.getStatus() == NOT_FOUND ? Optional.empty() : Optional.of(read(requireOk(response), Row.class));
    }

    @Override
    public List<Row> list(String prefix, String after, int limit) throws PlatformException {
        String query = "?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
        ContentResponse response = requireOk(send("GET", "/table/rows" + query, Optional.empty()));
        return read(response, PlatformJson.RowsBody.class).rows();
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        PlatformJson.CommitBody body =
                new PlatformJson.CommitBody(transaction.getConditions(), transaction.getWrites());
        ContentResponse response = send("POST", "/table/commit", Optional.of(write(body)));
        if (response.getStatus() == CONFLICT) {
            return false;
        }
        requireOk(response);
        return true;
    }

    @Override
    public void put(String name, byte[] content) throws PlatformException {
        requireOk(send("PUT", "/objects/item?name=" + encode(name), Optional.of(content)));
    }

    @Override
    public Optional<byte[]> getObject(String name) throws PlatformException {
        ContentResponse response = send("GET", "/objects/item?name=" + encode(name), Optional.empty());
        return response.getStatus() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(requireOk(response).getContent());
    }

    @Override
    public void delete(String name) throws PlatformException {
        requireOk(send("DELETE", "/objects/item?name=" + encode(name), Optional.empty()));
    }

    @Override
    public List<String> listObjects(String prefix) throws PlatformException {
        ContentResponse response = requireOk(send("GET", "/objects/names?prefix=" + encode(prefix), Optional.empty()));
        return read(response, PlatformJson.NamesBody.class).names();
    }

    private ContentResponse send(String method, String target, Optional<byte[]> body) throws PlatformException {
        try {
            return sendOnce(method, target, body);
        } catch (ExecutionException e) {
            if (!method.equals("GET") || !isConnectionClosed(e)) {
                throw new PlatformException(method + " " + target + ": no answer", e);
            }
        }
        // The platform may close an idle connection while a request is in transit. A read is safe to resend.
        try {
            return sendOnce(method, target, body);
        } catch (ExecutionException e) {
            throw new PlatformException(method + " " + target + ": no answer", e);
        }
    }

    private ContentResponse sendOnce(String method, String target, Optional<byte[]> body)
            throws PlatformException, ExecutionException {
        Request request = client.newRequest(address.resolve(target)).method(method);
        request.timeout(timeoutMs, TimeUnit.MILLISECONDS);
        body.ifPresent(bytes -> request.body(new BytesRequestContent(bytes)));
        try {
            return request.send();
        } catch (TimeoutException e) {
            throw new PlatformException(method + " " + target + ": no answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(method + " " + target + ": interrupted", e);
        }
    }

    private static boolean isConnectionClosed(ExecutionException failure) {
        return failure.getCause() instanceof EOFException || failure.getCause() instanceof ClosedChannelException;
    }

    private static ContentResponse requireOk(ContentResponse response) throws PlatformException {
        if (response.getStatus() != OK) {
            throw new PlatformException("the platform answered with status " + response.getStatus());
        }
        return response;
    }

    private static <T> T read(ContentResponse response, Class<T> type) throws PlatformException {
        try {
            return PlatformJson.MAPPER.readValue(response.getContent(), type);
        } catch (IOException e) {
            throw new PlatformException("failed to parse the platform's answer", e);
        }
    }

    private static byte[] write(Object body) throws PlatformException {
        try {
            return PlatformJson.MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new PlatformException("failed to serialize the request", e);
        }
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
