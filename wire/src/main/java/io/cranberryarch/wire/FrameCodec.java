package io.cranberryarch.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames: a length of four bytes, then type, identifier and fields in MessagePack.
 *
 * <pre>
 * ByteBuffer bytes = FrameCodec.encode(new Frame(7, message));
 * Optional&lt;Frame&gt; frame = FrameCodec.decode(bytes);
 * </pre>
 */
public final class FrameCodec {

    /** The size of the length prefix of each frame, in bytes. */
    public static final int LENGTH_PREFIX_BYTES = 4;

    /** The maximum size of a frame without its length prefix, in bytes. */
    public static final int MAX_FRAME_BYTES = 20 * 1024 * 1024;

    /** The version of the protocol. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int BUFFER_BYTES = 512;
    private static final MessagePack.PackerConfig PACKER_CONFIG =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES).withBufferFlushThreshold(BUFFER_BYTES);
    private static final MessagePack.UnpackerConfig UNPACKER_CONFIG =
            new MessagePack.UnpackerConfig().withBufferSize(BUFFER_BYTES).withStringDecoderBufferSize(BUFFER_BYTES);

    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame, not {@code null}
     * @return the bytes of the frame with its length prefix, positioned for reading
     * @throws IOException if the frame is larger than {@link #MAX_FRAME_BYTES}
     */
    public static ByteBuffer encode(Frame frame) throws IOException {
        try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
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
     * Decodes the next frame of a buffer.
     *
     * @param bytes the bytes received so far, not {@code null}; the position advances past the frame only if it is
     *     complete
     * @return the frame, or empty if more bytes are needed
     * @throws MalformedFrameException if the bytes are not a frame
     */
    public static Optional<Frame> decode(ByteBuffer bytes) throws MalformedFrameException {
        if (bytes.remaining() < LENGTH_PREFIX_BYTES) {
            return Optional.empty();
        }
        int length = bytes.getInt(bytes.position());
        if (length < 2 || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException(
                    "frame length " + length + " is outside the range 2 to " + MAX_FRAME_BYTES);
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES + length) {
            return Optional.empty();
        }
        ByteBuffer payload = bytes.slice(bytes.position() + LENGTH_PREFIX_BYTES, length);
        bytes.position(bytes.position() + LENGTH_PREFIX_BYTES + length);
        return Optional.of(decodePayload(payload));
    }

    private static Frame decodePayload(ByteBuffer payload) throws MalformedFrameException {
        try (MessageUnpacker unpacker = UNPACKER_CONFIG.newUnpacker(payload)) {
            int code = unpacker.unpackInt();
            long id = unpacker.unpackLong();
            Optional<MessageType> type = MessageType.of(code);
            if (type.isEmpty()) {
                throw new MalformedFrameException("unknown message type " + code);
            }
            Message message = type.get().read(unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedFrameException("trailing bytes after a message of type " + type.get());
            }
            return new Frame(id, message);
        } catch (MalformedFrameException e) {
            throw e;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedFrameException("fields cannot be decoded: " + e.getMessage(), e);
        }
    }
}
