package io.cranberryarch.wire;

import java.io.IOException;

/** Thrown when the bytes received from a peer are not a valid frame. The connection must be closed. */
public final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message.
     *
     * @param message the reason
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a message and a cause.
     *
     * @param message the reason
     * @param cause the failure of the decoder
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
