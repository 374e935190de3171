package io.cranberryarch.context;

import java.util.List;

/**
 * A whole request on its way to an upstream.
 *
 * @param context what is known of the request
 * @param service the service that serves it
 * @param timeoutMs the time left for the answer, in milliseconds
 * @param retryTokens the number of retries that this call and all below it may spend together
 * @param method the HTTP method
 * @param target the path and query
 * @param headers headers for the upstream, without the caller's key
 * @param body the whole body, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallRequest(
        RequestContext context,
        String service,
        long timeoutMs,
        int retryTokens,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body) {

    /** Copies the headers. */
    public CallRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Copies this request for another attempt after one that may have reached a gate.
     *
     * @return the copy, sharing the body
     */
    public CallRequest toRetry() {
        return new CallRequest(context.toRetry(), service, timeoutMs, retryTokens, method, target, headers, body);
    }

    /**
     * Copies this request with what is left of its time and retries.
     *
     * @param leftMs the time left in milliseconds
     * @param leftTokens the retries left
     * @return the copy, sharing the body
     */
    public CallRequest toAttempt(long leftMs, int leftTokens) {
        return new CallRequest(context, service, leftMs, leftTokens, method, target, headers, body);
    }
}
