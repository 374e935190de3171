package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Transfers the operators' document with the rules that the sender applies.
 *
 * @param document the document as read from the platform, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record RulesMessage(byte[] document) implements Message {

    static RulesMessage read(MessageUnpacker in) throws IOException {
        return new RulesMessage(FieldCodec.readBytes(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.RULES;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        FieldCodec.writeBytes(out, document);
    }
}
