package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * First message in both directions, which identifies the sender.
 *
 * @param version the version of the wire protocol
 * @param instance the name of the sender's instance
 * @param incarnation the incarnation of the sender's process
 * @param nonce random bytes that the receiver's proof must cover, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record HelloMessage(int version, String instance, long incarnation, byte[] nonce) implements Message {

    static HelloMessage read(MessageUnpacker in) throws IOException {
        return new HelloMessage(in.unpackInt(), in.unpackString(), in.unpackLong(), FieldCodec.readBytes(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.HELLO;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packInt(version);
        out.packString(instance);
        out.packLong(incarnation);
        FieldCodec.writeBytes(out, nonce);
    }
}
