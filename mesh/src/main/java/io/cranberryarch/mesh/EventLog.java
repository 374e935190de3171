package io.cranberryarch.mesh;

import io.cranberryarch.base.LineLimit;
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
 * <p>Lines wait in a bounded queue for a thread of their own, which hands them to the logging library in batches. Lines
 * about requests are limited to a number a second; lines that do not fit are counted, and the count is logged.
 */
public final class EventLog implements AutoCloseable {

    private static final int QUEUE_LINES = 4_096;
    private static final long FLUSH_INTERVAL_MS = 200;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong leftOut = new AtomicLong();
    private final Consumer<String> sink;
    private final Thread writer;
    private final LineLimit requestLines;
    private volatile boolean isClosed;

    /**
     * Creates a log and starts its thread.
     *
     * @param requestLinesPerS the most lines about requests a second
     */
    public EventLog(int requestLinesPerS) {
        this(requestLinesPerS, Logger::info);
    }

    /**
     * Creates a log that writes its lines elsewhere.
     *
     * @param requestLinesPerS the most lines about requests a second
     * @param sink takes each line, on the log's thread
     */
    EventLog(int requestLinesPerS, Consumer<String> sink) {
        this.sink = sink;
        this.requestLines = new LineLimit(requestLinesPerS);
        this.writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs a change of state or of what the node believes. Thread-safe.
     *
     * @param line the line
     */
    public void info(String line) {
        if (!queue.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    /**
     * Changes the limit of lines about requests. Called from the thread that logs requests.
     *
     * @param linesPerS the most lines a second
     */
    public void setRequestLinesPerS(int linesPerS) {
        requestLines.setLinesPerS(linesPerS);
    }

    /**
     * Tells whether a line about a request fits into the current second, and counts it. Called from one thread.
     *
     * @param nowMs the time in milliseconds
     * @return whether the line may be logged
     */
    public boolean tryAcquireRequestLine(long nowMs) {
        if (requestLines.tryLine(nowMs)) {
            return true;
        }
        leftOut.incrementAndGet();
        return false;
    }

    /**
     * Counts the lines that were not written, for their rate or since the queue was full.
     *
     * @return the number of lines since the start
     */
    public long countDroppedLines() {
        return leftOut.get();
    }

    /** Writes what is queued and ends the thread. */
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

    private void write() {
        List<String> batch = new ArrayList<>();
        boolean isLast = false;
        long reported = 0;
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
            long count = leftOut.get();
            if (count > reported) {
                sink.accept("event=log-left-out lines=" + (count - reported));
                reported = count;
            }
            System.out.flush();
        }
    }
}
