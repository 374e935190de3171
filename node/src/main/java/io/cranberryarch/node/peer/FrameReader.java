package io.cranberryarch.node.peer;

import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.MalformedFrameException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads frames from a channel, one after the other. Its buffer is as large as the longest frame under way. */
final class FrameReader implements CompletionHandler<Integer, Void> {

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_HANDSHAKE_BYTES = 1_024;

    private final AsynchronousSocketChannel channel;
    private final Listener listener;
    private final Consumer<Throwable> onFailure;
    private ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /**
     * Creates a reader that does not read yet.
     *
     * @param channel the channel
     * @param listener takes frames
     * @param onFailure learns why nothing more will be read
     */
    FrameReader(AsynchronousSocketChannel channel, Listener listener, Consumer<Throwable> onFailure) {
        this.channel = channel;
        this.listener = listener;
        this.onFailure = onFailure;
    }

    /** Reads on. */
    void read() {
        channel.read(input, null, this);
    }

    @Override
    public void completed(Integer count, Void unused) {
        if (count < 0) {
            listener.onEnd();
            return;
        }
        listener.onBytes();
        input.flip();
        try {
            for (Optional<Frame> frame = FrameCodec.decode(input);
                    frame.isPresent();
                    frame = FrameCodec.decode(input)) {
                listener.onFrame(frame.get());
            }
            makeRoom();
        } catch (MalformedFrameException e) {
            onFailure.accept(e);
            return;
        }
        read();
    }

    @Override
    public void failed(Throwable failure, Void unused) {
        onFailure.accept(failure);
    }

    private void makeRoom() throws MalformedFrameException {
        int length = input.remaining() < FrameCodec.LENGTH_PREFIX_BYTES ? 0 : input.getInt(input.position());
        if (length > MAX_HANDSHAKE_BYTES && !listener.isProved()) {
            throw new MalformedFrameException("length " + length + " before the proof");
        }
        int wanted = Math.max(READ_BUFFER_BYTES, length + FrameCodec.LENGTH_PREFIX_BYTES);
        if (wanted == input.capacity()) {
            input.compact();
            return;
        }
        input = ByteBuffer.allocate(wanted).put(input);
    }

    /** Takes what was read. */
    interface Listener {

        /** Notes a sign of life of the peer. */
        void onBytes();

        /**
         * Takes a frame.
         *
         * @param frame the frame
         * @throws MalformedFrameException if the frame is not allowed now
         */
        void onFrame(Frame frame) throws MalformedFrameException;

        /** Notes that the peer ended its stream. */
        void onEnd();

        /**
         * Tells whether the peer has proved itself, so that it may send long frames.
         *
         * @return whether it has
         */
        boolean isProved();
    }
}
