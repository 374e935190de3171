package io.cranberryarch.context;

import java.util.Locale;

/** The reasons why a request got no answer from its upstream, each with its HTTP status. */
public enum RefusalReason {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The body ended before its declared length. */
    BODY_INCOMPLETE(400),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413),
    /** The caller or a node cancelled the request. */
    CANCELLED(503),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** The instance is draining. */
    DRAINING(503),
    /** The idempotency key was used with another request. */
    IDEMPOTENCY_MISMATCH(422),
    /** The idempotency key is expired, or an earlier attempt under it has an unknown outcome. */
    IDEMPOTENCY_UNKNOWN(409),
    /** The key is missing, unknown or withdrawn. */
    KEY_REJECTED(401),
    /** No route matches the path. */
    NO_ROUTE(404),
    /** Another node owns the idempotency key, or no node owns it yet. */
    NOT_KEY_OWNER(503),
    /** No upstream of the service can be reached. */
    NO_UPSTREAM(503),
    /** The upstream or one that it depends on is overloaded. */
    OVERLOADED(503),
    /** The connection to the upstream's node was lost. */
    PEER_LOST(502),
    /** The client account exceeded its rate. */
    RATE_EXCEEDED(429),
    /** No allocator that grants the client account's rate can be reached. */
    RATE_UNAVAILABLE(503),
    /** The node has not yet received the current settings. */
    SETTINGS_UNAVAILABLE(503),
    /** The upstream failed to answer. */
    UPSTREAM_FAILED(502);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status code
     */
    public int getStatus() {
        return status;
    }

    /**
     * Returns the name used in bodies and logs.
     *
     * @return the lower-case name with hyphens
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
