package io.cranberryarch.mesh;

import io.cranberryarch.base.LogRateLimiter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Writes structured lines, {@code event=NAME key=value ...}, without ever blocking the caller.
 *
 * <p>A dedicated thread takes lines from a bounded queue and passes them to the logging library in batches. Lines about
 * requests are limited to a number per second; dropped lines are counted, and the count is logged.
 */
public final class EventLog implements AutoCloseable {

    private static final int MAX_QUEUED_LINES = 4_096;
    private static final long FLUSH_INTERVAL_MS = 200;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final Consumer<String> sink;
    private final Thread writer;
    private final LogRateLimiter requestLines;
    private volatile boolean isClosed;

    /**
     * Creates a log and starts its thread.
     *
     * @param requestLinesPerS the maximum number of lines about requests per second
     */
    public EventLog(int requestLinesPerS) {
        this(requestLinesPerS, Logger::info);
    }

    /**
     * Creates a log that writes its lines to a sink, and starts its thread.
     *
     * @param requestLinesPerS the maximum number of lines about requests per second
     * @param sink receives each line, on the log's thread
     */
    EventLog(int requestLinesPerS, Consumer<String> sink) {
        this.sink = sink;
        this.requestLines = new LogRateLimiter(requestLinesPerS);
        this.writer = new Thread(this::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line for writing, or drops and counts it if the queue is full. Thread-safe.
     *
     * @param line the line
     */
    public void info(String line) {
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Sets the limit of lines about requests. Called from the thread that logs requests.
     *
     * @param linesPerS the maximum number of lines per second
     */
    public void setRequestLinesPerS(int linesPerS) {
        requestLines.setLinesPerSecond(linesPerS);
    }

    /**
     * Acquires a permit for a line about a request, or counts the line as dropped if the limit of the current second is
     * reached. Called from a single thread.
     *
     * @param nowMs the time in milliseconds
     * @return whether the line may be logged
     */
    public boolean tryAcquireRequestLine(long nowMs) {
        if (requestLines.tryAcquire(nowMs)) {
            return true;
        }
        droppedLines.incrementAndGet();
        return false;
    }

    /**
     * Returns the number of lines that were dropped because of the rate limit or a full queue.
     *
     * @return the number of lines since the start
     */
    public long countDroppedLines() {
        return droppedLines.get();
    }

    /** Writes the queued lines and ends the thread. */
    @Override
    public void close() {
        isClosed = true;
        writer.interrupt();
        try {
            writer.join(FLUSH_INTERVAL_MS * 2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeQueuedLines() {
        List<String> batch = new ArrayList<>();
        boolean isLast = false;
        long reportedCount = 0;
        while (!isLast) {
            isLast = isClosed;
            try {
                String first = isLast ? queue.poll() : queue.poll(FLUSH_INTERVAL_MS * 5, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                batch.add(first);
                if (!isLast) {
                    TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MS);
                }
            } catch (InterruptedException e) {
                isLast = true;
            }
            queue.drainTo(batch);
            batch.forEach(sink);
            batch.clear();
            long count = droppedLines.get();
            if (count > reportedCount) {
                sink.accept("event=log-left-out lines=" + (count - reportedCount));
                reportedCount = count;
            }
            System.out.flush();
        }
    }
}
