package io.cranberryarch.context;

import java.util.List;

/**
 * A request forwarded from the node that received it to the node of the instance that runs it.
 *
 * @param requestId the identifier that the caller assigned to the request
 * @param service the service that runs the request
 * @param rootRoute the route of the request at the root of the call tree
 * @param rank the importance of the root request, 0 for the most important
 * @param isNested whether an upstream sent the request while it ran another request
 * @param isRepeat whether the request was sent before, or is nested in a run that is itself a repeat
 * @param timeoutMs the remaining time for the answer, in milliseconds
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers for the upstream
 * @param body the body, not copied
 * @param hasBody whether there is a body, which may be empty
 */
@SuppressWarnings("ArrayRecordComponent")
public record ForwardedRequest(
        String requestId,
        String service,
        String rootRoute,
        int rank,
        boolean isNested,
        boolean isRepeat,
        long timeoutMs,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        boolean hasBody) {

    /**
     * Creates the copy that is sent in one attempt.
     *
     * @param remainingMs the remaining time in milliseconds
     * @param isResend whether the request was sent before
     * @return the copy
     */
    public ForwardedRequest toAttempt(long remainingMs, boolean isResend) {
        return new ForwardedRequest(
                requestId,
                service,
                rootRoute,
                rank,
                isNested,
                isRepeat || isResend,
                remainingMs,
                method,
                target,
                headers,
                body,
                hasBody);
    }

    /**
     * Creates a copy with other headers.
     *
     * @param newHeaders the headers
     * @return the copy
     */
    public ForwardedRequest withHeaders(List<HeaderField> newHeaders) {
        return new ForwardedRequest(
                requestId,
                service,
                rootRoute,
                rank,
                isNested,
                isRepeat,
                timeoutMs,
                method,
                target,
                newHeaders,
                body,
                hasBody);
    }
}
