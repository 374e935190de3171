package io.cranberryarch.node.call;

import java.util.Optional;

/** Tells a call that waits or runs that nobody wants its answer any more. Thread-safe. */
final class Cancellation {

    private boolean cancelled;
    private Optional<Runnable> action = Optional.empty();

    /** Cancels the call. A second call does nothing. */
    void cancel() {
        Optional<Runnable> due;
        synchronized (this) {
            due = cancelled ? Optional.empty() : action;
            cancelled = true;
        }
        due.ifPresent(Runnable::run);
    }

    /**
     * Sets what a cancellation does from now on, and does it if the call was cancelled already.
     *
     * @param newAction stops the call
     */
    void onCancel(Runnable newAction) {
        synchronized (this) {
            action = Optional.of(newAction);
            if (!cancelled) {
                return;
            }
        }
        newAction.run();
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }
}
