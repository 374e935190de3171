package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells the peer to send no more requests on this connection.
 *
 * @param lastRequestId the greatest number of a request that was received; greater ones are not handled
 */
public record GoAwayMessage(long lastRequestId) implements Message {

    static GoAwayMessage read(MessageUnpacker in) throws IOException {
        return new GoAwayMessage(in.unpackLong());
    }

    @Override
    public MessageType getType() {
        return MessageType.GO_AWAY;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packLong(lastRequestId);
    }
}
