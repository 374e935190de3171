package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Cancels the call whose identifier is in the frame. */
public record CancelMessage() implements Message {

    static CancelMessage read(MessageUnpacker unused) {
        return new CancelMessage();
    }

    @Override
    public MessageType getType() {
        return MessageType.CANCEL;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        // The message has no fields.
    }
}
