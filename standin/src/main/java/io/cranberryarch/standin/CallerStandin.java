package io.cranberryarch.standin;

import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** A caller that sends requests sequentially and counts the answers by status. */
public final class CallerStandin implements AutoCloseable {

    private static final long TIMEOUT_MS = 10_000;

    private final HttpClient client = new HttpClient();

    /**
     * Starts the HTTP client.
     *
     * @return this caller
     * @throws Exception if the client cannot start
     */
    public CallerStandin start() throws Exception {
        client.start();
        return this;
    }

    /**
     * Sends requests sequentially.
     *
     * @param target the address with path and query
     * @param method the HTTP method
     * @param key the caller's key, or empty
     * @param idempotencyPrefix the prefix of the idempotency key of each request, or empty to send no keys
     * @param body the body, or empty
     * @param count the number of requests
     * @return the number of answers by status; status 0 counts requests without an answer
     * @throws InterruptedException if the thread is interrupted while it waits for an answer
     */
    public Map<Integer, Integer> send(
            URI target,
            String method,
            Optional<String> key,
            Optional<String> idempotencyPrefix,
            Optional<String> body,
            int count)
            throws InterruptedException {
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            Request request = client.newRequest(target).method(method).timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            String idempotencyKey = idempotencyPrefix.orElse("") + i;
            request.headers(headers -> {
                key.ifPresent(value -> headers.put("Authorization", "Bearer " + value));
                idempotencyPrefix.ifPresent(value -> headers.put("Idempotency-Key", idempotencyKey));
            });
            body.ifPresent(value -> request.body(new StringRequestContent("text/plain", value)));
            statuses.merge(sendOne(request), 1, Integer::sum);
        }
        return statuses;
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private static int sendOne(Request request) throws InterruptedException {
        try {
            ContentResponse response = request.send();
            return response.getStatus();
        } catch (ExecutionException | TimeoutException e) {
            return 0;
        }
    }
}
