package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells a node what the sender knows of the node's upstream. The receiver may have been restarted since it reported it.
 *
 * @param upstream the upstream of the receiver
 */
public record KnownUpstreamMessage(PeerStatusMessage.Upstream upstream) implements Message {

    static KnownUpstreamMessage read(MessageUnpacker in) throws IOException {
        return new KnownUpstreamMessage(PeerStatusMessage.Upstream.read(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.KNOWN_UPSTREAM;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        upstream.write(out);
    }
}
