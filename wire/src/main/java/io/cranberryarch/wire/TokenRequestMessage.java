package io.cranberryarch.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Asks the allocator of a zone for tokens of one client account, and settles earlier grants.
 *
 * @param zone the zone whose allocator is asked
 * @param account the name of the client account
 * @param number the number of the request
 * @param needed tokens for calls that wait now
 * @param wanted tokens wanted in all; 0 only settles and gets no answer
 * @param epoch the epoch of the allocator that gave the settled grants
 * @param settlements what became of earlier grants
 */
public record TokenRequestMessage(
        String zone, String account, long number, long needed, long wanted, long epoch, List<Settlement> settlements)
        implements Message {

    /** Copies the list. */
    public TokenRequestMessage {
        settlements = List.copyOf(settlements);
    }

    static TokenRequestMessage read(MessageUnpacker in) throws IOException {
        String zone = in.unpackString();
        String account = in.unpackString();
        long number = in.unpackLong();
        long needed = in.unpackLong();
        long wanted = in.unpackLong();
        long epoch = in.unpackLong();
        int count = Fields.readCount(in);
        List<Settlement> settlements = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            settlements.add(new Settlement(in.unpackLong(), in.unpackLong(), in.unpackLong()));
        }
        return new TokenRequestMessage(zone, account, number, needed, wanted, epoch, settlements);
    }

    @Override
    public MessageType getType() {
        return MessageType.TOKEN_REQUEST;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packString(zone);
        out.packString(account);
        out.packLong(number);
        out.packLong(needed);
        out.packLong(wanted);
        out.packLong(epoch);
        out.packArrayHeader(settlements.size());
        for (Settlement settlement : settlements) {
            out.packLong(settlement.grant());
            out.packLong(settlement.spent());
            out.packLong(settlement.returned());
        }
    }

    /**
     * What the holder of a grant has done with its tokens so far.
     *
     * @param grant the number of the grant
     * @param spent tokens spent
     * @param returned tokens given back
     */
    public record Settlement(long grant, long spent, long returned) {}
}
