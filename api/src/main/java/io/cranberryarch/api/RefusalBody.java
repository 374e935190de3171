package io.cranberryarch.api;

/**
 * The body of a refusal that a caller receives.
 *
 * @param reason a machine-readable reason
 * @param execution whether the request ran: run, not-run or unknown
 * @param requestId the identifier of the request
 * @param retryAfterMs the time after which to retry, in milliseconds, 0 if a retry is useless
 */
public record RefusalBody(String reason, String execution, String requestId, long retryAfterMs) {}
