package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The record of one member as exchanged between nodes.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation of the member's process, which increases with each start
 * @param sequence increases with each change that the member makes to its own record
 * @param state the ordinal of the member's state
 * @param zone the availability zone
 * @param service the service of its upstream
 * @param host the IP address
 * @param peerPort the port for other nodes
 * @param slots the maximum number of requests that the upstream runs concurrently
 */
public record MemberRecord(
        String instance,
        long incarnation,
        long sequence,
        int state,
        String zone,
        String service,
        String host,
        int peerPort,
        int slots) {

    static MemberRecord read(MessageUnpacker in) throws IOException {
        return new MemberRecord(
                in.unpackString(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackInt(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt());
    }

    void write(MessagePacker out) throws IOException {
        out.packString(instance);
        out.packLong(incarnation);
        out.packLong(sequence);
        out.packInt(state);
        out.packString(zone);
        out.packString(service);
        out.packString(host);
        out.packInt(peerPort);
        out.packInt(slots);
    }
}
