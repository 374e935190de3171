package io.cranberryarch.node.peer;

import java.io.IOException;

/** Thrown when a connection to a peer cannot be opened or is no longer usable. */
public final class PeerLostException extends IOException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception.
     *
     * @param message the reason
     * @param sent whether the request may have reached the peer
     */
    public PeerLostException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /**
     * Checks whether the request may have reached the peer.
     *
     * @return {@code false} only if the request certainly did not reach the peer
     */
    public boolean isSent() {
        return sent;
    }
}
