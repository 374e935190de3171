package io.cranberryarch.context;

import java.util.Locale;
import java.util.Set;

/** Names of headers that the nodes read or write. */
public final class RequestHeaders {

    /** Carries the caller's key as a bearer token; never passed on. */
    public static final String AUTHORIZATION = "Authorization";
    /** Carries the token of the call that an upstream serves; passed on with its own calls. */
    public static final String CALL_TOKEN = "X-Call-Token";
    /** Says whether the request ran: run, not-run or unknown. */
    public static final String EXECUTION = "X-Execution";
    /** Carries the key under which a request runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Names the instance that owns an idempotency key; between nodes only. */
    public static final String KEY_OWNER = "X-Key-Owner";
    /** Is 1 if no earlier attempt under the idempotency key can have run. */
    public static final String REQUEST_ATTEMPT = "X-Request-Attempt";
    /** Carries the identifier of the request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** Carries the longest time that the caller waits, in milliseconds. */
    public static final String REQUEST_TIMEOUT = "X-Request-Timeout-Ms";
    /** Says in whole seconds when to come back. */
    public static final String RETRY_AFTER = "Retry-After";

    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "connection",
            "content-length",
            "cookie",
            "expect",
            "host",
            "idempotency-key",
            "keep-alive",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-api-key",
            "x-call-token",
            "x-execution",
            "x-key-owner",
            "x-request-attempt",
            "x-request-id",
            "x-request-timeout-ms");

    private RequestHeaders() {}

    /**
     * Checks whether a header goes on to the next party unchanged.
     *
     * @param name the name in any case, not {@code null}
     * @return {@code false} for credentials, hop-by-hop headers and headers that a node writes itself
     */
    public static boolean isForwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }
}
