package io.cranberryarch.wire;

import io.cranberryarch.context.PeerInfo;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Lists the nodes to which the sender is connected on a hosted platform.
 *
 * @param peers the nodes, copied
 */
public record PeersMessage(List<PeerInfo> peers) implements Message {

    /** Copies the list. */
    public PeersMessage {
        peers = List.copyOf(peers);
    }

    static PeersMessage read(MessageUnpacker in) throws IOException {
        int count = FieldCodec.readCount(in);
        List<PeerInfo> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peers.add(FieldCodec.readPeer(in));
        }
        return new PeersMessage(peers);
    }

    @Override
    public MessageType getType() {
        return MessageType.PEERS;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packArrayHeader(peers.size());
        for (PeerInfo peer : peers) {
            FieldCodec.writePeer(out, peer);
        }
    }
}
