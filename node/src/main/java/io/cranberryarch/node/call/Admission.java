package io.cranberryarch.node.call;

import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.admission.AdmissionLimit;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Admits calls to the upstream or refuses them. Thread-safe. */
public final class Admission {

    private static final long RETRY_AFTER_MS = 1_000;

    private final AdmissionLimit limit;

    /**
     * Creates an admission.
     *
     * @param slots requests that the upstream runs at once at most
     */
    public Admission(int slots) {
        this.limit = new AdmissionLimit(slots);
    }

    /**
     * Asks for admission.
     *
     * @param call the call
     * @return completes with a refusal, or with empty when the call may run; then {@link #exit} must follow
     */
    public CompletableFuture<Optional<Refusal>> enter(CallRequest call) {
        synchronized (limit) {
            if (call.timeoutMs() > 0 && limit.tryEnter()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
        }
        Refusal refusal = Refusal.ofNotRun(RefusalReason.OVERLOADED, RETRY_AFTER_MS);
        return CompletableFuture.completedFuture(Optional.of(refusal));
    }

    /**
     * Ends an admitted call.
     *
     * @param call the call
     * @param result its answer
     * @param durationMs the time that the upstream took, in milliseconds
     */
    public void exit(CallRequest call, CallResult result, long durationMs) {
        synchronized (limit) {
            limit.exit();
        }
    }

    /**
     * Gets the load.
     *
     * @return calls in flight and the limit
     */
    public LoadReport getLoad() {
        synchronized (limit) {
            return new LoadReport(limit.getInFlight(), limit.getLimit(), 0);
        }
    }
}
