package io.cranberryarch.context;

import java.util.List;
import java.util.Optional;

/**
 * The final result of a call: either the upstream's complete answer or a refusal.
 *
 * @param status the HTTP status
 * @param headers the headers for the caller, copied
 * @param body the complete body, not copied
 * @param refusal the refusal, or empty if the upstream answered
 * @param retryTokens the number of unspent retries, which are returned to the caller of this call
 * @param load the load reported by the gate, or empty if no gate was reached
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallResult(
        int status,
        List<HeaderField> headers,
        byte[] body,
        Optional<Refusal> refusal,
        int retryTokens,
        Optional<LoadReport> load) {

    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public CallResult {
        headers = List.copyOf(headers);
    }

    /**
     * Creates a result for a refused call.
     *
     * @param refusal the refusal
     * @param retryTokens the number of unspent retries
     * @param load the load of the gate that refused, or empty
     * @return the result
     */
    public static CallResult ofRefusal(Refusal refusal, int retryTokens, Optional<LoadReport> load) {
        int status = refusal.reason().getStatus();
        return new CallResult(status, List.of(), NO_BODY, Optional.of(refusal), retryTokens, load);
    }

    /**
     * Returns whether the upstream executed the call.
     *
     * @return {@link Execution#RUN} for an answer of the upstream, else the execution of the refusal
     */
    public Execution toExecution() {
        return refusal.map(Refusal::execution).orElse(Execution.RUN);
    }

    /**
     * Copies this result for a request of which an earlier attempt may have run.
     *
     * @return the copy, whose refusal has {@link Execution#UNKNOWN} in place of {@link Execution#NOT_RUN}
     */
    public CallResult toUnknown() {
        return new CallResult(status, headers, body, refusal.map(Refusal::toUnknown), retryTokens, load);
    }

    /**
     * Returns this result with the lower of two thresholds. A result without load is returned unchanged.
     *
     * @param threshold the lowest admission level at which calls are refused
     * @return this result or a copy, sharing the body
     */
    public CallResult withThreshold(int threshold) {
        if (load.isEmpty() || load.get().threshold() <= threshold) {
            return this;
        }
        LoadReport lower = new LoadReport(load.get().inFlight(), load.get().limit(), threshold);
        return new CallResult(status, headers, body, refusal, retryTokens, Optional.of(lower));
    }
}
