package io.cranberryarch.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What the sender has learned of the costs of routes, on a hosted platform.
 *
 * @param costsMs milliseconds of slots that a request of a route uses, by route and service
 */
public record RouteCostsMessage(Map<String, Map<String, Double>> costsMs) implements Message {

    static RouteCostsMessage read(MessageUnpacker in) throws IOException {
        int count = Fields.readCount(in);
        Map<String, Map<String, Double>> costsMs = new HashMap<>();
        for (int i = 0; i < count; i++) {
            costsMs.put(in.unpackString(), Fields.readAmounts(in));
        }
        return new RouteCostsMessage(costsMs);
    }

    @Override
    public MessageType getType() {
        return MessageType.ROUTE_COSTS;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packArrayHeader(costsMs.size());
        for (Map.Entry<String, Map<String, Double>> route : costsMs.entrySet()) {
            out.packString(route.getKey());
            Fields.writeAmounts(out, route.getValue());
        }
    }
}
