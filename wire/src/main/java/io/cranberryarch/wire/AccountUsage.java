package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The usage of the rate of a client account by the callers of one node.
 *
 * @param demandPerS the requested rate, in requests per second
 * @param admitted the number of requests that the node has admitted since its start
 * @param bucketTokens the number of tokens in the node's local token bucket
 */
public record AccountUsage(double demandPerS, long admitted, double bucketTokens) {

    static AccountUsage read(MessageUnpacker in) throws IOException {
        return new AccountUsage(in.unpackFloat(), in.unpackLong(), in.unpackFloat());
    }

    void write(MessagePacker out) throws IOException {
        out.packFloat((float) demandPerS);
        out.packLong(admitted);
        out.packFloat((float) bucketTokens);
    }
}
