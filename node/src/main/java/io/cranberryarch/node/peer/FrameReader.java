package io.cranberryarch.node.peer;

import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.MalformedFrameException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads frames from a channel in order. The read buffer is as large as the longest frame being read. */
final class FrameReader implements CompletionHandler<Integer, Void> {

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_HANDSHAKE_BYTES = 1_024;

    private final AsynchronousSocketChannel channel;
    private final Listener listener;
    private final Consumer<Throwable> onFailure;
    private ByteBuffer input = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /**
     * Creates a reader, which starts to read on {@link #read}.
     *
     * @param channel the channel
     * @param listener receives frames
     * @param onFailure receives the failure that ended reading
     */
    FrameReader(AsynchronousSocketChannel channel, Listener listener, Consumer<Throwable> onFailure) {
        this.channel = channel;
        this.listener = listener;
        this.onFailure = onFailure;
    }

    /** Starts an asynchronous read. */
    void read() {
        channel.read(input, null, this);
    }

    @Override
    public void completed(Integer count, Void unused) {
        if (count < 0) {
            listener.onEnd();
            return;
        }
        listener.onBytesRead();
        input.flip();
        try {
            for (Optional<Frame> frame = FrameCodec.decode(input);
                    frame.isPresent();
                    frame = FrameCodec.decode(input)) {
                listener.onFrame(frame.get());
            }
            ensureCapacity();
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

    private void ensureCapacity() throws MalformedFrameException {
        int length = input.remaining() < FrameCodec.LENGTH_PREFIX_BYTES ? 0 : input.getInt(input.position());
        if (length > MAX_HANDSHAKE_BYTES && !listener.isAuthenticated()) {
            throw new MalformedFrameException("length " + length + " before authentication");
        }
        int requiredBytes = Math.max(READ_BUFFER_BYTES, length + FrameCodec.LENGTH_PREFIX_BYTES);
        if (requiredBytes == input.capacity()) {
            input.compact();
            return;
        }
        input = ByteBuffer.allocate(requiredBytes).put(input);
    }

    /** Receives frames and events of the channel. */
    interface Listener {

        /** Handles the receipt of bytes, which shows that the peer is alive. */
        void onBytesRead();

        /**
         * Handles a frame.
         *
         * @param frame the frame
         * @throws MalformedFrameException if the frame is not allowed in the current state
         */
        void onFrame(Frame frame) throws MalformedFrameException;

        /** Handles the end of the stream. */
        void onEnd();

        /**
         * Checks whether the peer is authenticated and may therefore send long frames.
         *
         * @return whether the peer is authenticated
         */
        boolean isAuthenticated();
    }
}
