package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Requests the rules that the receiver applies. */
public record RulesRequestMessage() implements Message {

    static RulesRequestMessage read(MessageUnpacker unused) {
        return new RulesRequestMessage();
    }

    @Override
    public MessageType getType() {
        return MessageType.RULES_REQUEST;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        // The message has no fields.
    }
}
