package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks a node what it has learned of the costs of routes. */
public record RouteCostsRequestMessage() implements Message {

    static RouteCostsRequestMessage read(MessageUnpacker unused) {
        return new RouteCostsRequestMessage();
    }

    @Override
    public MessageType getType() {
        return MessageType.ROUTE_COSTS_REQUEST;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        // The type says all.
    }
}
