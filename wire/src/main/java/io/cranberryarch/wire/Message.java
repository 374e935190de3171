package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** A message between two nodes. Each type has a reader in {@link MessageType}. */
public interface Message {

    /**
     * Gets the type.
     *
     * @return the type, never {@code null}
     */
    MessageType getType();

    /**
     * Writes the fields in a fixed order.
     *
     * @param packer the target, not {@code null}
     * @throws IOException if the target fails
     */
    void write(MessagePacker packer) throws IOException;
}
