package io.cranberryarch.net;

import io.cranberryarch.base.Clock;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs an event loop on its own thread for tests. */
final class LoopRunner implements AutoCloseable {

    private static final long AWAIT_TIMEOUT_S = 30;

    private final EventLoop loop;
    private final Thread thread;

    LoopRunner() throws IOException {
        loop = new EventLoop(Clock.system());
        thread = new Thread(loop::run, "loop");
        thread.start();
    }

    EventLoop getLoop() {
        return loop;
    }

    /** Runs a task on the loop and waits for its result. */
    <T> T call(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return await(result);
    }

    static <T> T await(CompletableFuture<T> result) throws Exception {
        return result.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        loop.close();
        thread.join();
    }
}
