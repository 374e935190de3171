package io.cranberryarch.wire;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What callers of one node use of the rate of a client account.
 *
 * @param demandPerS requests a second that they ask for
 * @param admitted requests that the node admitted since its start
 * @param bucketTokens tokens of the rate that the node holds in its own bucket
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
