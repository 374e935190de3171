package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reports whether a probed member answered.
 *
 * @param isAnswered whether the member answered within the timeout
 */
public record ProbeAnswerMessage(boolean isAnswered) implements Message {

    static ProbeAnswerMessage read(MessageUnpacker in) throws IOException {
        return new ProbeAnswerMessage(in.unpackBoolean());
    }

    @Override
    public MessageType getType() {
        return MessageType.PROBE_ANSWER;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packBoolean(isAnswered);
    }
}
