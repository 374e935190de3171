package io.cranberryarch.wire;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.PeerInfo;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes field types that several messages share, and limits their sizes. */
final class FieldCodec {

    private static final int MAX_ITEMS = 100_000;

    private FieldCodec() {}

    static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.addPayload(bytes);
    }

    static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > FrameCodec.MAX_FRAME_BYTES) {
            throw new MalformedFrameException("binary of " + length + " bytes is too large");
        }
        return unpacker.readPayload(length);
    }

    static int readCount(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ITEMS) {
            throw new MalformedFrameException("array of " + count + " items is too large");
        }
        return count;
    }

    static void writeOptional(MessagePacker packer, Optional<String> text) throws IOException {
        if (text.isPresent()) {
            packer.packString(text.get());
        } else {
            packer.packNil();
        }
    }

    static Optional<String> readOptional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    }

    static void writeHeaders(MessagePacker packer, List<HeaderField> headers) throws IOException {
        packer.packArrayHeader(headers.size());
        for (HeaderField header : headers) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
    }

    static List<HeaderField> readHeaders(MessageUnpacker unpacker) throws IOException {
        int count = readCount(unpacker);
        List<HeaderField> headers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            headers.add(new HeaderField(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    static void writeAmounts(MessagePacker packer, Map<String, Double> amounts) throws IOException {
        packer.packMapHeader(amounts.size());
        for (Map.Entry<String, Double> entry : amounts.entrySet()) {
            packer.packString(entry.getKey());
            packer.packFloat(entry.getValue().floatValue());
        }
    }

    static Map<String, Double> readAmounts(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackMapHeader();
        if (count > MAX_ITEMS) {
            throw new MalformedFrameException("map of " + count + " items is too large");
        }
        Map<String, Double> amounts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            amounts.put(unpacker.unpackString(), (double) unpacker.unpackFloat());
        }
        return amounts;
    }

    static void writePeer(MessagePacker packer, PeerInfo peer) throws IOException {
        packer.packString(peer.node());
        packer.packString(peer.zone());
        packer.packString(peer.address());
    }

    static PeerInfo readPeer(MessageUnpacker unpacker) throws IOException {
        return new PeerInfo(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
    }

    static <E extends Enum<E>> E readEnum(MessageUnpacker unpacker, E[] values) throws IOException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new MalformedFrameException("unknown enum ordinal " + ordinal);
        }
        return values[ordinal];
    }
}
