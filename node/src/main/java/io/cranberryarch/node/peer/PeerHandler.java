package io.cranberryarch.node.peer;

import io.cranberryarch.wire.Frame;

/** Receives the messages of authenticated peers. */
public interface PeerHandler {

    /**
     * Handles a message that is not a response to a request of this node. Must not block.
     *
     * @param connection the connection, not {@code null}
     * @param frame the message, not {@code null}
     */
    void onFrame(PeerConnection connection, Frame frame);
}
