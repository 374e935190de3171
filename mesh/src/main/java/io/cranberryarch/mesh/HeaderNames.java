package io.cranberryarch.mesh;

/**
 * The names of the headers that callers, upstreams and the node exchange on a platform.
 *
 * @param requestId the identifier of one attempt of a caller, echoed by the upstream
 * @param timeoutMs how long the sender waits for the answer, in milliseconds
 * @param account the client account, set for the upstream
 * @param callerService the service of the machine on which the request began, set for the upstream
 * @param expectedInstance the upstream's incarnation that may run the request
 * @param instance the incarnation that answered a health check
 * @param responseStamp what marks an answer as the upstream's own
 * @param notExecuted set by an upstream that has not run the request
 */
public record HeaderNames(
        String requestId,
        String timeoutMs,
        String account,
        String callerService,
        String expectedInstance,
        String instance,
        String responseStamp,
        String notExecuted) {}
