package io.cranberryarch.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Requests tokens of one client account from the allocator of a zone, and settles earlier grants.
 *
 * @param zone the zone whose allocator is asked
 * @param account the name of the client account
 * @param number the number of the request, unique for the sender
 * @param needed the tokens for calls that are waiting now
 * @param wanted the tokens wanted in total; 0 only settles grants and gets no answer
 * @param epoch the epoch of the allocator that issued the settled grants
 * @param settlements the settlements of earlier grants, copied
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
        int count = FieldCodec.readCount(in);
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
     * Reports how many tokens of a grant its holder has spent and returned so far.
     *
     * @param grant the number of the grant
     * @param spent the number of tokens spent since the grant began
     * @param returned the number of tokens returned since the grant began
     */
    public record Settlement(long grant, long spent, long returned) {}
}
