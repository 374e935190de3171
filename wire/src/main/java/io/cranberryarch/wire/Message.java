package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** A message between two nodes. {@link MessageType} holds the reader of each type. */
public interface Message {

    /**
     * Returns the type of this message.
     *
     * @return the type, never {@code null}
     */
    MessageType getType();

    /**
     * Writes the fields in the fixed order of the message type.
     *
     * @param packer the output, not {@code null}
     * @throws IOException if the output fails
     */
    void write(MessagePacker packer) throws IOException;
}
