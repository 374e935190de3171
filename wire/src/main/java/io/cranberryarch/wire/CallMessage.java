package io.cranberryarch.wire;

import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.settings.Priority;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A request for the upstream of the receiver.
 *
 * @param request the request
 */
public record CallMessage(CallRequest request) implements Message {

    private static final Priority[] PRIORITIES = Priority.values();

    static CallMessage read(MessageUnpacker in) throws IOException {
        RequestContext context = new RequestContext(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                FieldCodec.readEnum(in, PRIORITIES),
                in.unpackBoolean(),
                FieldCodec.readOptional(in),
                in.unpackInt(),
                in.unpackBoolean());
        return new CallMessage(new CallRequest(
                context,
                in.unpackString(),
                in.unpackLong(),
                in.unpackInt(),
                in.unpackString(),
                in.unpackString(),
                FieldCodec.readHeaders(in),
                FieldCodec.readBytes(in)));
    }

    @Override
    public MessageType getType() {
        return MessageType.CALL;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        RequestContext context = request.context();
        out.packString(context.requestId());
        out.packString(context.account());
        out.packString(context.kind());
        out.packInt(context.priority().ordinal());
        out.packBoolean(context.idempotent());
        FieldCodec.writeOptional(out, context.idempotencyKey());
        out.packInt(context.depth());
        out.packBoolean(context.isFirstAttempt());
        out.packString(request.service());
        out.packLong(request.timeoutMs());
        out.packInt(request.retryTokens());
        out.packString(request.method());
        out.packString(request.target());
        FieldCodec.writeHeaders(out, request.headers());
        FieldCodec.writeBytes(out, request.body());
    }
}
