package io.cranberryarch.wire;

import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The final answer to a call.
 *
 * @param result the result
 */
public record AnswerMessage(CallResult result) implements Message {

    private static final RefusalReason[] REASONS = RefusalReason.values();
    private static final Execution[] EXECUTIONS = Execution.values();

    static AnswerMessage read(MessageUnpacker in) throws IOException {
        int status = in.unpackInt();
        List<HeaderField> headers = FieldCodec.readHeaders(in);
        byte[] body = FieldCodec.readBytes(in);
        Optional<Refusal> refusal = readRefusal(in);
        int retryTokens = in.unpackInt();
        Optional<LoadReport> load = readLoad(in);
        return new AnswerMessage(new CallResult(status, headers, body, refusal, retryTokens, load));
    }

    private static Optional<Refusal> readRefusal(MessageUnpacker in) throws IOException {
        if (in.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(
                new Refusal(FieldCodec.readEnum(in, REASONS), FieldCodec.readEnum(in, EXECUTIONS), in.unpackLong()));
    }

    private static Optional<LoadReport> readLoad(MessageUnpacker in) throws IOException {
        if (in.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(new LoadReport(in.unpackInt(), in.unpackInt(), in.unpackInt()));
    }

    @Override
    public MessageType getType() {
        return MessageType.ANSWER;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packInt(result.status());
        FieldCodec.writeHeaders(out, result.headers());
        FieldCodec.writeBytes(out, result.body());
        writeRefusal(out);
        out.packInt(result.retryTokens());
        writeLoad(out);
    }

    private void writeRefusal(MessagePacker out) throws IOException {
        if (result.refusal().isEmpty()) {
            out.packNil();
            return;
        }
        Refusal refusal = result.refusal().get();
        out.packInt(refusal.reason().ordinal());
        out.packInt(refusal.execution().ordinal());
        out.packLong(refusal.retryAfterMs());
    }

    private void writeLoad(MessagePacker out) throws IOException {
        if (result.load().isEmpty()) {
            out.packNil();
            return;
        }
        LoadReport load = result.load().get();
        out.packInt(load.inFlight());
        out.packInt(load.limit());
        out.packInt(load.threshold());
    }
}
