package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks a node for the rules that it follows. */
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
        // The type says all.
    }
}
