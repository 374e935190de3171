package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Proves that the sender holds the secret of the fleet.
 *
 * @param mac the message authentication code over both hello messages and the sender's role, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record ProofMessage(byte[] mac) implements Message {

    static ProofMessage read(MessageUnpacker in) throws IOException {
        return new ProofMessage(FieldCodec.readBytes(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.PROOF;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        FieldCodec.writeBytes(out, mac);
    }
}
