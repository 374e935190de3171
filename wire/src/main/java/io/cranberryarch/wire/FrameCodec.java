package io.cranberryarch.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Converts frames to bytes and back: four bytes of length, then type, number and fields in MessagePack.
 *
 * <pre>
 * ByteBuffer bytes = FrameCodec.encode(new Frame(7, message));
 * Optional&lt;Frame&gt; frame = FrameCodec.decode(bytes);
 * </pre>
 */
public final class FrameCodec {

    /** The bytes of the length before each frame. */
    public static final int LENGTH_PREFIX_BYTES = 4;

    /** The largest frame without its length, in bytes. */
    public static final int MAX_FRAME_BYTES = 20 * 1024 * 1024;

    /** The version of the protocol. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int BUFFER_BYTES = 512;
    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES).withBufferFlushThreshold(BUFFER_BYTES);
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withBufferSize(BUFFER_BYTES).withStringDecoderBufferSize(BUFFER_BYTES);

    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame, not {@code null}
     * @return its bytes with the length, ready to be read
     * @throws IOException if the frame is larger than {@link #MAX_FRAME_BYTES}
     */
    public static ByteBuffer encode(Frame frame) throws IOException {
        try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
            packer.packInt(frame.message().getType().getCode());
            packer.packLong(frame.id());
            frame.message().write(packer);
            byte[] payload = packer.toByteArray();
            if (payload.length > MAX_FRAME_BYTES) {
                throw new IOException("frame of " + payload.length + " bytes is too large");
            }
            ByteBuffer bytes = ByteBuffer.allocate(LENGTH_PREFIX_BYTES + payload.length);
            bytes.putInt(payload.length).put(payload).flip();
            return bytes;
        }
    }

    /**
     * Decodes the next frame.
     *
     * @param bytes bytes received so far; its position moves past the frame only if the frame is whole
     * @return the frame, or empty if more bytes are needed
     * @throws MalformedFrameException if the bytes are not a frame
     */
    public static Optional<Frame> decode(ByteBuffer bytes) throws MalformedFrameException {
        if (bytes.remaining() < LENGTH_PREFIX_BYTES) {
            return Optional.empty();
        }
        int length = bytes.getInt(bytes.position());
        if (length < 2 || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("length " + length + " is not from 2 to " + MAX_FRAME_BYTES);
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES + length) {
            return Optional.empty();
        }
        ByteBuffer payload = bytes.slice(bytes.position() + LENGTH_PREFIX_BYTES, length);
        bytes.position(bytes.position() + LENGTH_PREFIX_BYTES + length);
        return Optional.of(decodePayload(payload));
    }

    private static Frame decodePayload(ByteBuffer payload) throws MalformedFrameException {
        try (MessageUnpacker unpacker = UNPACKER.newUnpacker(payload)) {
            int code = unpacker.unpackInt();
            long id = unpacker.unpackLong();
            Optional<MessageType> type = MessageType.of(code);
            if (type.isEmpty()) {
                throw new MalformedFrameException("unknown message type " + code);
            }
            Message message = type.get().read(unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedFrameException("bytes left after a message of type " + type.get());
            }
            return new Frame(id, message);
        } catch (MalformedFrameException e) {
            throw e;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedFrameException("fields cannot be read: " + e.getMessage(), e);
        }
    }
}
