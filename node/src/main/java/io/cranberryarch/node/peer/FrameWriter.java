package io.cranberryarch.node.peer;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Writes frames in order, several in one system call where they wait. Thread-safe. */
final class FrameWriter implements CompletionHandler<Long, ByteBuffer[]> {

    private static final int MAX_GATHERED = 32;
    private static final int MAX_QUEUED_BYTES = 64 * 1024 * 1024;

    private final AsynchronousSocketChannel channel;
    private final Consumer<Throwable> onFailure;
    private final Runnable onProgress;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private int queuedBytes;
    private boolean writing;

    FrameWriter(AsynchronousSocketChannel channel, Consumer<Throwable> onFailure, Runnable onProgress) {
        this.channel = channel;
        this.onProgress = onProgress;
        this.onFailure = onFailure;
    }

    /**
     * Queues a frame.
     *
     * @param frame the frame
     * @return whether it will be written; {@code false} if too many bytes wait already
     */
    boolean write(ByteBuffer frame) {
        ByteBuffer[] batch;
        synchronized (this) {
            if (queuedBytes + frame.remaining() > MAX_QUEUED_BYTES) {
                return false;
            }
            queue.add(frame);
            queuedBytes += frame.remaining();
            if (writing) {
                return true;
            }
            writing = true;
            batch = takeBatch();
        }
        start(batch);
        return true;
    }

    /** Checks whether all frames were handed to the system. */
    synchronized boolean isIdle() {
        return !writing;
    }

    @Override
    public void completed(Long count, ByteBuffer[] batch) {
        ByteBuffer[] next = batch;
        if (batch[batch.length - 1].hasRemaining()) {
            onProgress.run();
        } else {
            synchronized (this) {
                if (queue.isEmpty()) {
                    writing = false;
                    return;
                }
                next = takeBatch();
            }
        }
        start(next);
    }

    @Override
    public void failed(Throwable failure, ByteBuffer[] batch) {
        onFailure.accept(failure);
    }

    private void start(ByteBuffer[] batch) {
        channel.write(batch, 0, batch.length, 0, TimeUnit.MILLISECONDS, batch, this);
    }

    private ByteBuffer[] takeBatch() {
        ByteBuffer[] batch = new ByteBuffer[Math.min(queue.size(), MAX_GATHERED)];
        for (int i = 0; i < batch.length; i++) {
            batch[i] = queue.remove();
            queuedBytes -= batch[i].remaining();
        }
        return batch;
    }
}
