package io.cranberryarch.net;

/** Whether the server may have executed a request that got no response. */
public enum HttpFailure {
    /** The connection was not established, so the server did not receive the request. */
    NOT_SENT,
    /** The request was sent completely or in part, so the server may have executed it. */
    MAY_HAVE_RUN
}
