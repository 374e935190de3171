package io.cranberryarch.wire;

import io.cranberryarch.context.PeerInfo;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * First message in both directions between nodes on a hosted platform.
 *
 * @param self the sender
 * @param incarnation the start of the sender, which grows with each start of the same node
 */
public record PeerHelloMessage(PeerInfo self, long incarnation) implements Message {

    static PeerHelloMessage read(MessageUnpacker in) throws IOException {
        return new PeerHelloMessage(Fields.readPeer(in), in.unpackLong());
    }

    @Override
    public MessageType getType() {
        return MessageType.PEER_HELLO;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        Fields.writePeer(out, self);
        out.packLong(incarnation);
    }
}
