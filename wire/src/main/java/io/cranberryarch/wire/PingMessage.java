package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that the peer is responsive, or answers such a check.
 *
 * @param isAnswer whether this answers a ping
 */
public record PingMessage(boolean isAnswer) implements Message {

    static PingMessage readPing(MessageUnpacker unused) {
        return new PingMessage(false);
    }

    static PingMessage readPong(MessageUnpacker unused) {
        return new PingMessage(true);
    }

    @Override
    public MessageType getType() {
        return isAnswer ? MessageType.PONG : MessageType.PING;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        // The message has no fields.
    }
}
