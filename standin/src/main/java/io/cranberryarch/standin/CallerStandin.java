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

/** A caller that sends requests one after the other and counts the statuses of the answers. */
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
     * Sends requests.
     *
     * @param target the address with path and query
     * @param method the HTTP method
     * @param key the caller's key, or empty
     * @param idempotencyPrefix the beginning of an idempotency key for each request, or empty for none
     * @param body the body, or empty
     * @param count the number of requests
     * @return the number of answers by status; 0 stands for no answer
     * @throws InterruptedException if the thread is interrupted
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
                key.ifPresent(text -> headers.put("Authorization", "Bearer " + text));
                idempotencyPrefix.ifPresent(text -> headers.put("Idempotency-Key", idempotencyKey));
            });
            body.ifPresent(text -> request.body(new StringRequestContent("text/plain", text)));
            statuses.merge(toStatus(request), 1, Integer::sum);
        }
        return statuses;
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private static int toStatus(Request request) throws InterruptedException {
        try {
            ContentResponse response = request.send();
            return response.getStatus();
        } catch (ExecutionException | TimeoutException e) {
            return 0;
        }
    }
}
