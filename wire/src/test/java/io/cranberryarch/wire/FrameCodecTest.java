package io.cranberryarch.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.settings.Priority;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class FrameCodecTest {

    @Property(tries = 200, seed = "1")
    void callIsUnchangedByEncodingAndDecoding(
            @ForAll long id,
            @ForAll String text,
            @ForAll Priority priority,
            @ForAll boolean idempotent,
            @ForAll byte[] body)
            throws IOException {
        RequestContext context = new RequestContext(
                text, text, text, priority, idempotent, Optional.of(text).filter(s -> idempotent), 3);
        CallRequest call =
                new CallRequest(context, text, id, 2, "POST", text, List.of(new HeaderField(text, text)), body);
        ByteBuffer bytes = FrameCodec.encode(new Frame(id, new CallMessage(call)));
        Frame frame = FrameCodec.decode(bytes).orElseThrow();
        CallRequest decoded = ((CallMessage) frame.message()).request();
        assertEquals(id, frame.id());
        assertEquals(context, decoded.context());
        assertEquals(call.headers(), decoded.headers());
        assertArrayEquals(body, decoded.body());
        assertTrue(!bytes.hasRemaining());
    }

    @Property(tries = 2_000, seed = "2")
    void anyBytesAreDecodedOrRejected(@ForAll @Size(max = 200) byte[] payload) {
        ByteBuffer bytes = ByteBuffer.allocate(FrameCodec.LENGTH_PREFIX_BYTES + payload.length);
        bytes.putInt(payload.length).put(payload).flip();
        try {
            assertTrue(FrameCodec.decode(bytes).isPresent());
        } catch (MalformedFrameException e) {
            assertTrue(!e.getMessage().isEmpty());
        }
    }

    @Property(tries = 20_000, seed = "3")
    void anyFieldsOfAnyTypeAreDecodedOrRejected(@ForAll MessageType type, @ForAll @Size(max = 100) byte[] fields)
            throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packInt(type.getCode()).packLong(1);
        packer.writePayload(fields);
        byte[] payload = packer.toByteArray();
        ByteBuffer bytes = ByteBuffer.allocate(FrameCodec.LENGTH_PREFIX_BYTES + payload.length);
        bytes.putInt(payload.length).put(payload).flip();
        try {
            assertEquals(type, FrameCodec.decode(bytes).orElseThrow().message().getType());
        } catch (MalformedFrameException e) {
            assertTrue(!e.getMessage().isEmpty());
        }
    }

    @Test
    void incompleteFrameIsNotDecoded() throws IOException {
        ByteBuffer complete = FrameCodec.encode(new Frame(1, new PingMessage(false)));
        ByteBuffer partial = complete.slice(0, complete.limit() - 1);
        assertEquals(Optional.empty(), FrameCodec.decode(partial));
        assertEquals(0, partial.position());
    }

    @Test
    void oversizedLengthIsRejected() {
        ByteBuffer bytes =
                ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).putInt(0).flip();
        assertThrows(MalformedFrameException.class, () -> FrameCodec.decode(bytes));
    }
}
