package io.cranberryarch.wire;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Answers a request for tokens.
 *
 * @param isAllocator whether the sender is the requested allocator; if not, the numbers have no meaning
 * @param allocator the instance that holds the allocator according to the sender, empty if unknown or if it is the
 *     sender
 * @param number the number of the request
 * @param epoch the epoch of the allocator
 * @param grant the number of the grant
 * @param tokens the number of tokens granted
 * @param lengthMs the lifetime of the grant in milliseconds, from the time when the request was sent
 * @param waitMs the time until the allocator expects to have a token again, in milliseconds
 */
public record TokenAnswerMessage(
        boolean isAllocator,
        Optional<String> allocator,
        long number,
        long epoch,
        long grant,
        long tokens,
        long lengthMs,
        long waitMs)
        implements Message {

    /**
     * Creates the answer of a node that is not the allocator.
     *
     * @param allocator the instance that holds the allocator according to the sender, or empty if unknown
     * @return the answer
     */
    public static TokenAnswerMessage ofNonAllocator(Optional<String> allocator) {
        return new TokenAnswerMessage(false, allocator, 0, 0, 0, 0, 0, 0);
    }

    static TokenAnswerMessage read(MessageUnpacker in) throws IOException {
        return new TokenAnswerMessage(
                in.unpackBoolean(),
                FieldCodec.readOptional(in),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong());
    }

    @Override
    public MessageType getType() {
        return MessageType.TOKEN_ANSWER;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packBoolean(isAllocator);
        FieldCodec.writeOptional(out, allocator);
        out.packLong(number);
        out.packLong(epoch);
        out.packLong(grant);
        out.packLong(tokens);
        out.packLong(lengthMs);
        out.packLong(waitMs);
    }
}
