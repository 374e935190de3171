package io.cranberryarch.context;

import java.util.List;

/**
 * A request on its way from the node that received it to the node of the instance that runs it.
 *
 * @param requestId the identifier that the caller gave it
 * @param service the service that is to run it
 * @param rootRoute the route of the request at the root of its call tree
 * @param rank the importance of the root, 0 for the most important
 * @param isNested whether an upstream made it while it ran another request
 * @param isRepeat whether it was sent before, or belongs to a run that is itself a repeat
 * @param timeoutMs the time left for its answer, in milliseconds
 * @param method the method
 * @param target path and query
 * @param headers the headers for the upstream
 * @param body the body
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
     * @param leftMs the time left in milliseconds
     * @param isAgain whether the request was sent before
     * @return the copy
     */
    public ForwardedRequest toAttempt(long leftMs, boolean isAgain) {
        return new ForwardedRequest(
                requestId,
                service,
                rootRoute,
                rank,
                isNested,
                isRepeat || isAgain,
                leftMs,
                method,
                target,
                headers,
                body,
                hasBody);
    }

    /**
     * Creates a copy with other headers.
     *
     * @param others the headers
     * @return the copy
     */
    public ForwardedRequest withHeaders(List<HeaderField> others) {
        return new ForwardedRequest(
                requestId, service, rootRoute, rank, isNested, isRepeat, timeoutMs, method, target, others, body,
                hasBody);
    }
}
