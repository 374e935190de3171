package io.cranberryarch.net;

/** What a missing response says about its request. */
public enum HttpFailure {
    /** The connection was never established: the server has not received the request. */
    NOT_SENT,
    /** The request was sent, wholly or in part: the server may have run it. */
    MAY_HAVE_RUN
}
