package io.cranberryarch.context;

import java.util.Locale;
import java.util.Set;

/** The names of headers that nodes read or write. */
public final class RequestHeaders {

    /** Carries the caller's key as a bearer token; never forwarded. */
    public static final String AUTHORIZATION = "Authorization";
    /** Carries the token of the call that an upstream runs; the upstream sends it with its nested calls. */
    public static final String CALL_TOKEN = "X-Call-Token";
    /** Reports whether the request ran: run, not-run or unknown. */
    public static final String EXECUTION = "X-Execution";
    /** Carries the key under which a request runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Names the instance that owns an idempotency key; between nodes only. */
    public static final String KEY_OWNER = "X-Key-Owner";
    /** Is 1 if no earlier attempt under the idempotency key can have run. */
    public static final String REQUEST_ATTEMPT = "X-Request-Attempt";
    /** Carries the identifier of the request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** Carries the maximum time that the caller waits, in milliseconds. */
    public static final String REQUEST_TIMEOUT = "X-Request-Timeout-Ms";
    /** Carries the delay before a retry, in whole seconds. */
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
     * Checks whether a header is forwarded unchanged to the next hop.
     *
     * @param name the name in any case, not {@code null}
     * @return {@code false} for credentials, hop-by-hop headers and headers that a node writes itself
     */
    public static boolean isForwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }
}
