package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Requests the nodes to which the receiver is connected. */
public record PeersRequestMessage() implements Message {

    static PeersRequestMessage read(MessageUnpacker unused) {
        return new PeersRequestMessage();
    }

    @Override
    public MessageType getType() {
        return MessageType.PEERS_REQUEST;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        // The message has no fields.
    }
}
