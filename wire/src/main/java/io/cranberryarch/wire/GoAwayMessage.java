package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Requests that the peer send no more requests on this connection.
 *
 * @param lastRequestId the highest identifier of a received request; requests with higher identifiers are not handled
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
