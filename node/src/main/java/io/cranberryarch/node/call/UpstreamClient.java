package io.cranberryarch.node.call;

import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestHeaders;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Sends calls over HTTP to the upstream of this node. Thread-safe. */
public final class UpstreamClient {

    private static final long RETRY_AFTER_MS = 1_000;

    private final HttpClient client;
    private final URI address;
    private final int maxBodyBytes;

    /**
     * Creates a client.
     *
     * @param client a started HTTP client, which the caller stops
     * @param address the address of the upstream
     * @param maxBodyBytes the maximum size of a response body, in bytes
     */
    public UpstreamClient(HttpClient client, URI address, int maxBodyBytes) {
        this.client = client;
        this.address = address;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Sends a call. Cancelling the returned future aborts the HTTP exchange.
     *
     * @param call the call
     * @param token the token that the upstream forwards with its own calls
     * @return completes with the full response of the upstream or a refusal, never exceptionally
     */
    public CompletableFuture<CallResult> send(CallRequest call, String token) {
        Request request = client.newRequest(address)
                .method(call.method())
                .path(call.target())
                .timeout(Math.max(1, call.timeoutMs()), TimeUnit.MILLISECONDS);
        request.headers(headers -> {
            for (HeaderField header : call.headers()) {
                headers.add(header.name(), header.value());
            }
            headers.put(RequestHeaders.CALL_TOKEN, token);
            headers.put(RequestHeaders.REQUEST_ID, call.context().requestId());
            headers.put(RequestHeaders.REQUEST_TIMEOUT, call.timeoutMs());
            call.context().idempotencyKey().ifPresent(key -> headers.put(RequestHeaders.IDEMPOTENCY_KEY, key));
        });
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(call.body()));
        }
        Listener listener = new Listener(maxBodyBytes, call.method());
        request.onRequestBegin(unused -> listener.hasBegun = true);
        listener.result.whenComplete((result, failure) -> {
            if (listener.result.isCancelled()) {
                request.abort(new CancellationException("the call was cancelled"));
            }
        });
        request.send(listener);
        return listener.result;
    }

    private static CallResult toFailure(Throwable failure, boolean hasBegun) {
        RefusalReason reason =
                failure instanceof TimeoutException ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.UPSTREAM_FAILED;
        Refusal refusal =
                hasBegun ? Refusal.ofUnknown(reason, RETRY_AFTER_MS) : Refusal.ofNotRun(reason, RETRY_AFTER_MS);
        return CallResult.ofRefusal(refusal, 0, Optional.empty());
    }

    /**
     * Checks whether the response has a delimited end, so that a closed connection cannot truncate it unnoticed.
     *
     * @param method the method of the request
     * @param response the response
     * @return whether its length is known, it is chunked, or it has no body
     */
    private static boolean isDelimited(String method, Response response) {
        int status = response.getStatus();
        return method.equals("HEAD")
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304
                || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    /** Buffers the full response. */
    private static final class Listener extends BufferingResponseListener {

        private final CompletableFuture<CallResult> result = new CompletableFuture<>();

        private final String method;
        private volatile boolean hasBegun;

        Listener(int maxBodyBytes, String method) {
            super(maxBodyBytes);
            this.method = method;
        }

        @Override
        public void onComplete(Result outcome) {
            if (outcome.isFailed() || !isDelimited(method, outcome.getResponse())) {
                result.complete(toFailure(outcome.getFailure(), hasBegun));
                return;
            }
            List<HeaderField> headers = new ArrayList<>();
            for (HttpField field : outcome.getResponse().getHeaders()) {
                if (RequestHeaders.isForwarded(field.getName())) {
                    headers.add(new HeaderField(field.getName(), field.getValue()));
                }
            }
            byte[] body = getContent() == null ? new byte[0] : getContent();
            int status = outcome.getResponse().getStatus();
            result.complete(new CallResult(status, headers, body, Optional.empty(), 0, Optional.empty()));
        }
    }
}
