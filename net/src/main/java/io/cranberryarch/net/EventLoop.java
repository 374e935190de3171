package io.cranberryarch.net;

import io.cranberryarch.base.Clock;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.tinylog.Logger;

/**
 * Runs the network input and output and the timers of a process on one thread.
 *
 * <p>All methods except {@link #execute}, {@link #close} and the constructor must be called from the thread that runs
 * {@link #run}. Bytes written during an iteration of the loop are sent at its end, so that many small messages share
 * one system call.
 *
 * <pre>
 * EventLoop loop = new EventLoop(Clock.system());
 * loop.schedule(1_000, () -&gt; tick());
 * loop.run();
 * </pre>
 */
public final class EventLoop implements Executor, AutoCloseable {

    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final Clock clock;
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private List<TcpConnection> pendingFlushes = new ArrayList<>();
    private long timerSequence;
    private volatile boolean isClosed;
    private volatile Thread thread;

    /**
     * Creates an event loop.
     *
     * @param clock the clock of the timers, not {@code null}
     * @throws IOException if a selector cannot be opened
     */
    public EventLoop(Clock clock) throws IOException {
        this.clock = clock;
        this.selector = Selector.open();
    }

    /**
     * Returns the monotonic time.
     *
     * @return the time in milliseconds, see {@link Clock#monotonicMs()}
     */
    public long nowMs() {
        return clock.monotonicMs();
    }

    /**
     * Returns the wall-clock time.
     *
     * @return the time in milliseconds since 1970, see {@link Clock#wallMs()}
     */
    public long wallMs() {
        return clock.wallMs();
    }

    /**
     * Runs a task on the loop's thread. May be called from any thread.
     *
     * @param task the task, not {@code null}
     */
    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread) {
            selector.wakeup();
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayMs the delay in milliseconds
     * @param task the task, not {@code null}
     * @return the timer, which can be cancelled
     */
    public Timer schedule(long delayMs, Runnable task) {
        Timer timer = new Timer(nowMs() + Math.max(0, delayMs), timerSequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Runs a task periodically, with a fixed delay between the end of one run and the start of the next.
     *
     * @param delayMs the delay in milliseconds, also before the first run
     * @param task the task, not {@code null}
     */
    public void scheduleWithFixedDelay(long delayMs, Runnable task) {
        schedule(delayMs, () -> {
            try {
                task.run();
            } finally {
                scheduleWithFixedDelay(delayMs, task);
            }
        });
    }

    /** Runs the loop on the calling thread until it is closed. */
    public void run() {
        thread = Thread.currentThread();
        while (!isClosed) {
            try {
                select();
            } catch (IOException e) {
                Logger.error(e, "event=selector-failed");
                return;
            }
            runTasks();
            runTimers();
            flush();
        }
    }

    /** Ends the loop after the current iteration. May be called from any thread. */
    @Override
    public void close() {
        isClosed = true;
        selector.wakeup();
    }

    Selector getSelector() {
        return selector;
    }

    ByteBuffer getReadBuffer() {
        return readBuffer;
    }

    void scheduleFlush(TcpConnection connection) {
        pendingFlushes.add(connection);
    }

    private void select() throws IOException {
        long timeoutMs = computeSelectTimeoutMs();
        if (timeoutMs == 0) {
            selector.selectNow(EventLoop::dispatch);
        } else {
            selector.select(EventLoop::dispatch, timeoutMs == Long.MAX_VALUE ? 0 : timeoutMs);
        }
    }

    private long computeSelectTimeoutMs() {
        if (!tasks.isEmpty()) {
            return 0;
        }
        while (!timers.isEmpty() && timers.peek().isCancelled()) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : Math.max(0, timers.peek().dueAtMs() - nowMs());
    }

    private static void dispatch(SelectionKey key) {
        try {
            ((Selectable) key.attachment()).onReady();
        } catch (RuntimeException e) {
            Logger.error(e, "event=handler-failed");
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            runSafely(task);
        }
    }

    private void runTimers() {
        long nowMs = nowMs();
        while (!timers.isEmpty() && timers.peek().dueAtMs() <= nowMs) {
            Timer timer = timers.poll();
            if (!timer.isCancelled()) {
                runSafely(timer.task());
            }
        }
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "event=task-failed");
        }
    }

    private void flush() {
        while (!pendingFlushes.isEmpty()) {
            List<TcpConnection> batch = pendingFlushes;
            pendingFlushes = new ArrayList<>();
            for (TcpConnection connection : batch) {
                connection.flush();
            }
        }
    }

    /** The attachment of a selection key, called when its channel is ready. */
    interface Selectable {

        /** Handles the operations that are ready. */
        void onReady();
    }

    /** A scheduled task. */
    public static final class Timer implements Comparable<Timer> {

        private final long dueAtMs;
        private final long sequence;
        private Runnable task;

        private Timer(long dueAtMs, long sequence, Runnable task) {
            this.dueAtMs = dueAtMs;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task if it has not started yet. */
        public void cancel() {
            task = null;
        }

        boolean isCancelled() {
            return task == null;
        }

        long dueAtMs() {
            return dueAtMs;
        }

        Runnable task() {
            return task;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueAtMs, other.dueAtMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
