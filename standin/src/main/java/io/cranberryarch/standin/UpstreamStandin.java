package io.cranberryarch.standin;

import io.cranberryarch.base.Closer;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * An upstream that announces itself to its node, simulates work for each request and may call other services.
 *
 * <p>Query parameters of a request: {@code work-ms} is the duration of the simulated work in milliseconds, {@code call}
 * the path of a nested call sent through its node, {@code status} the status of its answer. {@code GET /executions}
 * returns the number of executions of each idempotency key, {@code GET /credentials} the number of requests with a
 * credential.
 */
public final class UpstreamStandin implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long CALL_TIMEOUT_MS = 10_000;
    private static final int WORK_THREADS = 4;

    private final String name;
    private final Closer closer = new Closer();
    private final StandinServer server;
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService worker = new ScheduledThreadPoolExecutor(WORK_THREADS);
    private final Map<String, AtomicInteger> executionsByKey = new ConcurrentHashMap<>();
    private final AtomicInteger requestsWithCredential = new AtomicInteger();
    private volatile URI node;

    /**
     * Creates a stand-in that is not started.
     *
     * @param name the name that it includes in its answers
     * @param port the port, 0 to let the operating system choose
     */
    public UpstreamStandin(String name, int port) {
        this.name = name;
        this.server = closer.add(new StandinServer(port, new UpstreamHandler()));
        closer.add(client::stop);
        closer.add(worker::shutdownNow);
    }

    /**
     * Starts the server and the HTTP client.
     *
     * @return this stand-in
     * @throws Exception if the port cannot be bound
     */
    public UpstreamStandin start() throws Exception {
        server.start();
        client.start();
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
     * Announces this upstream to its node.
     *
     * @param newNode the address on which the node listens for its upstream
     * @param state "up" or "draining"
     * @param slots the maximum number of requests that it runs concurrently
     * @throws IOException if the node does not accept the announcement
     */
    public void announce(URI newNode, String state, int slots) throws IOException {
        node = newNode;
        String body = "{\"state\":\"" + state + "\",\"slots\":" + slots + "}";
        try {
            ContentResponse answer = client.newRequest(newNode.resolve("/v1/announce"))
                    .method("POST")
                    .body(new StringRequestContent("application/json", body))
                    .timeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send();
            if (answer.getStatus() != 200) {
                throw new IOException("the node answered " + answer.getStatus() + " to the announcement");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the node did not answer the announcement", e);
        }
    }

    /**
     * Returns the number of requests that ran with an idempotency key.
     *
     * @param key the key
     * @return the number of executions
     */
    public int getExecutionCount(String key) {
        AtomicInteger count = executionsByKey.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns the number of requests that carried a caller's credential.
     *
     * @return the number of requests
     */
    public int getCredentialCount() {
        return requestsWithCredential.get();
    }

    @Override
    public void close() throws Exception {
        closer.close();
    }

    /** Answers requests after the simulated work and the nested call. */
    private final class UpstreamHandler extends Handler.Abstract.NonBlocking {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String path = Request.getPathInContext(request);
            if (path.equals("/executions")) {
                write(response, callback, 200, executionsByKey.toString());
                return true;
            }
            if (path.equals("/credentials")) {
                write(response, callback, 200, String.valueOf(requestsWithCredential.get()));
                return true;
            }
            recordRequest(request);
            StandinBodies.read(request).whenComplete((body, failure) -> {
                if (failure != null) {
                    callback.failed(failure);
                } else {
                    run(request, body, response, callback);
                }
            });
            return true;
        }

        private void recordRequest(Request request) {
            if (request.getHeaders().contains(HttpHeader.AUTHORIZATION)) {
                requestsWithCredential.incrementAndGet();
            }
            String key = request.getHeaders().get("Idempotency-Key");
            if (key != null) {
                executionsByKey
                        .computeIfAbsent(key, unused -> new AtomicInteger())
                        .incrementAndGet();
            }
        }

        private void run(Request request, byte[] body, Response response, Callback callback) {
            Fields query = Request.extractQueryParameters(request);
            String workMs = query.getValue("work-ms");
            worker.schedule(
                    () -> callNested(request, query, body, response, callback),
                    workMs == null ? 0 : Long.parseLong(workMs),
                    TimeUnit.MILLISECONDS);
        }

        private void callNested(Request request, Fields query, byte[] body, Response response, Callback callback) {
            String target = query.getValue("call");
            String token = request.getHeaders().get("X-Call-Token");
            if (target == null || node == null || token == null) {
                answer(query, "", body, response, callback);
                return;
            }
            client.newRequest(node.resolve(target))
                    .headers(headers -> headers.put("X-Call-Token", token))
                    .timeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(MAX_BODY_BYTES) {
                        @Override
                        public void onComplete(Result result) {
                            boolean isOk =
                                    result.isSucceeded() && result.getResponse().getStatus() == 200;
                            if (isOk) {
                                answer(query, " <- " + getContentAsString(), body, response, callback);
                            } else {
                                write(response, callback, 502, name + ": the nested call failed");
                            }
                        }
                    });
        }

        private void answer(Fields query, String nested, byte[] body, Response response, Callback callback) {
            String status = query.getValue("status");
            String text = name + " " + body.length + " bytes" + nested;
            write(response, callback, status == null ? 200 : Integer.parseInt(status), text);
        }

        private void write(Response response, Callback callback, int status, String text) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
            response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
        }
    }
}
