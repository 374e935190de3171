package io.cranberryarch.context;

import java.util.List;
import java.util.Optional;

/**
 * The final answer to a call: either the upstream's whole answer or a refusal.
 *
 * @param status the HTTP status
 * @param headers headers for the caller
 * @param body the whole body, not copied
 * @param refusal why there is no answer of the upstream, or empty
 * @param retryTokens retries that were not spent and go back to the caller of this call
 * @param load what the gate said about its load, or empty if no gate was reached
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
     * @param refusal why
     * @param retryTokens retries that were not spent
     * @param load the load of the gate that refused, or empty
     * @return the result
     */
    public static CallResult ofRefusal(Refusal refusal, int retryTokens, Optional<LoadReport> load) {
        int status = refusal.reason().getStatus();
        return new CallResult(status, List.of(), NO_BODY, Optional.of(refusal), retryTokens, load);
    }

    /**
     * Gets what is known about the execution.
     *
     * @return {@link Execution#RUN} for an answer of the upstream, else what the refusal says
     */
    public Execution toExecution() {
        return refusal.map(Refusal::execution).orElse(Execution.RUN);
    }

    /**
     * Copies this result for a request of which an earlier attempt may have run.
     *
     * @return the copy, in which a refusal does not claim that the request was not run
     */
    public CallResult toUnknown() {
        return new CallResult(status, headers, body, refusal.map(Refusal::toUnknown), retryTokens, load);
    }
}
