package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Requests that a peer probe another member that did not answer the sender.
 *
 * @param target the member to probe
 */
public record ProbeMessage(MemberRecord target) implements Message {

    static ProbeMessage read(MessageUnpacker in) throws IOException {
        return new ProbeMessage(MemberRecord.read(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.PROBE;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        target.write(out);
    }
}
