package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * One member as nodes tell it to each other.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation of the process, greater after each start
 * @param sequence grows with each change that the member makes to its own record
 * @param state the ordinal of the member's state
 * @param zone the availability zone
 * @param service the service of its upstream
 * @param host the address
 * @param peerPort the port for other nodes
 * @param slots requests that the upstream runs at once at most
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
