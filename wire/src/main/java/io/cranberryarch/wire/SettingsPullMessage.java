package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Requests settings newer than a version.
 *
 * @param afterVersion the version in force at the sender
 */
public record SettingsPullMessage(long afterVersion) implements Message {

    static SettingsPullMessage read(MessageUnpacker in) throws IOException {
        return new SettingsPullMessage(in.unpackLong());
    }

    @Override
    public MessageType getType() {
        return MessageType.SETTINGS_PULL;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packLong(afterVersion);
    }
}
