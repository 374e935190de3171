package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The operators' document with the rules that the sender follows.
 *
 * @param document the document as it was read from the platform
 */
@SuppressWarnings("ArrayRecordComponent")
public record RulesMessage(byte[] document) implements Message {

    static RulesMessage read(MessageUnpacker in) throws IOException {
        return new RulesMessage(Fields.readBytes(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.RULES;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        Fields.writeBytes(out, document);
    }
}
