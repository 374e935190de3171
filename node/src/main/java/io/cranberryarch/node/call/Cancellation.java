package io.cranberryarch.node.call;

import java.util.Optional;

/** Cancels a waiting or running call whose result is no longer needed. Thread-safe. */
final class Cancellation {

    private boolean cancelled;
    private Optional<Runnable> action = Optional.empty();

    /** Cancels the call. Repeated cancellations have no effect. */
    void cancel() {
        Optional<Runnable> pendingAction;
        synchronized (this) {
            pendingAction = cancelled ? Optional.empty() : action;
            cancelled = true;
        }
        pendingAction.ifPresent(Runnable::run);
    }

    /**
     * Sets the action of a cancellation, and runs it immediately if the call is already cancelled.
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
