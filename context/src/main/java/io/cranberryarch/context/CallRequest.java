package io.cranberryarch.context;

import java.util.List;

/**
 * A complete request to an upstream.
 *
 * @param context the context of the request
 * @param service the service that serves it
 * @param timeoutMs the remaining time for the answer, in milliseconds
 * @param retryTokens the number of retries that this call and all its nested calls may spend together
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers for the upstream, without the caller's key, copied
 * @param body the complete body, not copied
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
     * Copies this request for a retry after an attempt that may have reached a gate.
     *
     * @return the copy, sharing the body
     */
    public CallRequest toRetry() {
        return new CallRequest(context.toRetry(), service, timeoutMs, retryTokens, method, target, headers, body);
    }

    /**
     * Copies this request with its remaining time and retries.
     *
     * @param remainingMs the remaining time in milliseconds
     * @param remainingTokens the number of remaining retries
     * @return the copy, sharing the body
     */
    public CallRequest toAttempt(long remainingMs, int remainingTokens) {
        return new CallRequest(context, service, remainingMs, remainingTokens, method, target, headers, body);
    }
}
