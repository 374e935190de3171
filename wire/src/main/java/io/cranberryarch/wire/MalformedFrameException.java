package io.cranberryarch.wire;

import java.io.IOException;

/** Thrown when bytes of a peer are not a frame. The connection must be closed. */
public final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what is wrong
     * @param cause the failure of the decoder
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
