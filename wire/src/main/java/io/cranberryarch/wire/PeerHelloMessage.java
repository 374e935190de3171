package io.cranberryarch.wire;

import io.cranberryarch.context.PeerInfo;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * First message in both directions between nodes on a hosted platform.
 *
 * @param self the sender
 * @param incarnation the start of the sender, which grows with each start of the same node
 * @param known other nodes that the sender knows
 */
public record PeerHelloMessage(PeerInfo self, long incarnation, List<PeerInfo> known) implements Message {

    static PeerHelloMessage read(MessageUnpacker in) throws IOException {
        PeerInfo self = readPeer(in);
        long incarnation = in.unpackLong();
        int count = Fields.readCount(in);
        List<PeerInfo> known = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            known.add(readPeer(in));
        }
        return new PeerHelloMessage(self, incarnation, known);
    }

    @Override
    public MessageType getType() {
        return MessageType.PEER_HELLO;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        writePeer(out, self);
        out.packLong(incarnation);
        out.packArrayHeader(known.size());
        for (PeerInfo peer : known) {
            writePeer(out, peer);
        }
    }

    private static PeerInfo readPeer(MessageUnpacker in) throws IOException {
        return new PeerInfo(in.unpackString(), in.unpackString(), in.unpackString());
    }

    private static void writePeer(MessagePacker out, PeerInfo peer) throws IOException {
        out.packString(peer.node());
        out.packString(peer.zone());
        out.packString(peer.address());
    }
}
