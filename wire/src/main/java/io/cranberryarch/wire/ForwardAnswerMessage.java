package io.cranberryarch.wire;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The outcome of a forwarded request.
 *
 * @param answer the outcome
 */
public record ForwardAnswerMessage(ForwardedAnswer answer) implements Message {

    private static final Execution[] EXECUTIONS = Execution.values();

    static ForwardAnswerMessage read(MessageUnpacker in) throws IOException {
        return new ForwardAnswerMessage(new ForwardedAnswer(
                FieldCodec.readEnum(in, EXECUTIONS),
                in.unpackString(),
                in.unpackInt(),
                FieldCodec.readHeaders(in),
                FieldCodec.readBytes(in),
                FieldCodec.readAmounts(in),
                in.unpackFloat(),
                in.unpackInt(),
                in.unpackFloat()));
    }

    @Override
    public MessageType getType() {
        return MessageType.FORWARD_ANSWER;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packInt(answer.execution().ordinal());
        out.packString(answer.reason());
        out.packInt(answer.status());
        FieldCodec.writeHeaders(out, answer.headers());
        FieldCodec.writeBytes(out, answer.body());
        FieldCodec.writeAmounts(out, answer.slotTimesMs());
        out.packFloat((float) answer.limit());
        out.packInt(answer.inFlight());
        out.packFloat((float) answer.upstreamFailureRatio());
    }
}
