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
 * An upstream that announces itself to its node, does some work for each request and may call other services.
 *
 * <p>Query parameters of a request: {@code work-ms} is the time that it takes, {@code call} a path that it requests
 * through its node first, {@code status} the status of its answer. {@code GET /executions} tells how often each
 * idempotency key ran, {@code GET /credentials} how many requests came with a credential.
 */
public final class UpstreamStandin implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final long CALL_TIMEOUT_MS = 10_000;
    private static final int WORK_THREADS = 4;

    private final String name;
    private final Closer closer = new Closer();
    private final StandinServer server;
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService work = new ScheduledThreadPoolExecutor(WORK_THREADS);
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final AtomicInteger credentials = new AtomicInteger();
    private volatile URI node;

    /**
     * Creates a stand-in that is not started.
     *
     * @param name named in its answers
     * @param port the port, 0 to let the system choose
     */
    public UpstreamStandin(String name, int port) {
        this.name = name;
        this.server = closer.add(new StandinServer(port, new UpstreamHandler()));
        closer.add(client::stop);
        closer.add(work::shutdownNow);
    }

    /**
     * Starts the server.
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
     * Gets the address.
     *
     * @return the address of the running server
     */
    public URI getAddress() {
        return URI.create("http://127.0.0.1:" + server.getPort());
    }

    /**
     * Announces this upstream to its node.
     *
     * @param newNode the address of the node for its upstream
     * @param state "up" or "draining"
     * @param slots requests that it runs at once at most
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
            throw new IOException("the node does not answer", e);
        }
    }

    /**
     * Tells how often a request ran under an idempotency key.
     *
     * @param key the key
     * @return the number of executions
     */
    public int getExecutionCount(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Tells how many requests came with a caller's credential.
     *
     * @return the number of requests
     */
    public int getCredentialCount() {
        return credentials.get();
    }

    @Override
    public void close() throws Exception {
        closer.close();
    }

    /** Does the work. */
    private final class UpstreamHandler extends Handler.Abstract.NonBlocking {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String path = Request.getPathInContext(request);
            if (path.equals("/executions")) {
                write(response, callback, 200, executions.toString());
                return true;
            }
            if (path.equals("/credentials")) {
                write(response, callback, 200, String.valueOf(credentials.get()));
                return true;
            }
            count(request);
            StandinBodies.read(request).whenComplete((body, failure) -> {
                if (failure != null) {
                    callback.failed(failure);
                } else {
                    run(request, body, response, callback);
                }
            });
            return true;
        }

        private void count(Request request) {
            if (request.getHeaders().contains(HttpHeader.AUTHORIZATION)) {
                credentials.incrementAndGet();
            }
            String key = request.getHeaders().get("Idempotency-Key");
            if (key != null) {
                executions.computeIfAbsent(key, unused -> new AtomicInteger()).incrementAndGet();
            }
        }

        private void run(Request request, byte[] body, Response response, Callback callback) {
            Fields query = Request.extractQueryParameters(request);
            String workMs = query.getValue("work-ms");
            work.schedule(
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
