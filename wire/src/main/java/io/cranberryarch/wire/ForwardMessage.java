package io.cranberryarch.wire;

import io.cranberryarch.context.ForwardedRequest;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A request for the upstream of the receiver on a hosted platform.
 *
 * @param request the request
 */
public record ForwardMessage(ForwardedRequest request) implements Message {

    static ForwardMessage read(MessageUnpacker in) throws IOException {
        return new ForwardMessage(new ForwardedRequest(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackLong(),
                in.unpackString(),
                in.unpackString(),
                FieldCodec.readHeaders(in),
                FieldCodec.readBytes(in),
                in.unpackBoolean()));
    }

    @Override
    public MessageType getType() {
        return MessageType.FORWARD;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        out.packString(request.requestId());
        out.packString(request.service());
        out.packString(request.rootRoute());
        out.packInt(request.rank());
        out.packBoolean(request.isNested());
        out.packBoolean(request.isRepeat());
        out.packLong(request.timeoutMs());
        out.packString(request.method());
        out.packString(request.target());
        FieldCodec.writeHeaders(out, request.headers());
        FieldCodec.writeBytes(out, request.body());
        out.packBoolean(request.hasBody());
    }
}
