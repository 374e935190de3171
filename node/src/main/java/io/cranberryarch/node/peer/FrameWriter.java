package io.cranberryarch.node.peer;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Writes frames in order; queued frames are combined into one system call. Thread-safe. */
final class FrameWriter implements CompletionHandler<Long, ByteBuffer[]> {

    private static final int MAX_BATCH_FRAMES = 32;
    private static final int MAX_QUEUED_BYTES = 64 * 1024 * 1024;

    private final AsynchronousSocketChannel channel;
    private final Consumer<Throwable> onFailure;
    private final Runnable onProgress;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private int queuedBytes;
    private boolean isWriting;

    FrameWriter(AsynchronousSocketChannel channel, Consumer<Throwable> onFailure, Runnable onProgress) {
        this.channel = channel;
        this.onProgress = onProgress;
        this.onFailure = onFailure;
    }

    /**
     * Queues a frame.
     *
     * @param frame the frame
     * @return whether the frame was queued; {@code false} if too many bytes are already queued
     */
    boolean write(ByteBuffer frame) {
        ByteBuffer[] batch;
        synchronized (this) {
            if (queuedBytes + frame.remaining() > MAX_QUEUED_BYTES) {
                return false;
            }
            queue.add(frame);
            queuedBytes += frame.remaining();
            if (isWriting) {
                return true;
            }
            isWriting = true;
            batch = pollBatch();
        }
        writeBatch(batch);
        return true;
    }

    /** Checks whether all frames were passed to the operating system. */
    synchronized boolean isIdle() {
        return !isWriting;
    }

    @Override
    public void completed(Long count, ByteBuffer[] batch) {
        ByteBuffer[] next = batch;
        if (batch[batch.length - 1].hasRemaining()) {
            onProgress.run();
        } else {
            synchronized (this) {
                if (queue.isEmpty()) {
                    isWriting = false;
                    return;
                }
                next = pollBatch();
            }
        }
        writeBatch(next);
    }

    @Override
    public void failed(Throwable failure, ByteBuffer[] batch) {
        onFailure.accept(failure);
    }

    private void writeBatch(ByteBuffer[] batch) {
        channel.write(batch, 0, batch.length, 0, TimeUnit.MILLISECONDS, batch, this);
    }

    private ByteBuffer[] pollBatch() {
        ByteBuffer[] batch = new ByteBuffer[Math.min(queue.size(), MAX_BATCH_FRAMES)];
        for (int i = 0; i < batch.length; i++) {
            batch[i] = queue.remove();
            queuedBytes -= batch[i].remaining();
        }
        return batch;
    }
}
