package io.cranberryarch.wire;

import io.cranberryarch.context.PeerInfo;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * First message in both directions between nodes on a hosted platform, which identifies the sender.
 *
 * @param self the node that sends the message
 * @param incarnation the incarnation of the sender's process, which increases with each start of the node
 */
public record PeerHelloMessage(PeerInfo self, long incarnation) implements Message {

    static PeerHelloMessage read(MessageUnpacker in) throws IOException {
        return new PeerHelloMessage(FieldCodec.readPeer(in), in.unpackLong());
    }

    @Override
    public MessageType getType() {
        return MessageType.PEER_HELLO;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        FieldCodec.writePeer(out, self);
        out.packLong(incarnation);
    }
}
