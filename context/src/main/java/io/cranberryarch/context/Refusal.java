package io.cranberryarch.context;

/**
 * The final answer to a request that was given up.
 *
 * @param reason why
 * @param execution what is known about its execution
 * @param retryAfterMs when to come back, in milliseconds, 0 if coming back is of no use
 */
public record Refusal(RefusalReason reason, Execution execution, long retryAfterMs) {

    /**
     * Creates a refusal of a request that was not run.
     *
     * @param reason why
     * @param retryAfterMs when to come back, in milliseconds
     * @return the refusal
     */
    public static Refusal ofNotRun(RefusalReason reason, long retryAfterMs) {
        return new Refusal(reason, Execution.NOT_RUN, retryAfterMs);
    }

    /**
     * Creates a refusal of a request that may have run.
     *
     * @param reason why
     * @param retryAfterMs when to come back, in milliseconds
     * @return the refusal
     */
    public static Refusal ofUnknown(RefusalReason reason, long retryAfterMs) {
        return new Refusal(reason, Execution.UNKNOWN, retryAfterMs);
    }

    /**
     * Copies this refusal for a request of which an earlier attempt may have run.
     *
     * @return a refusal that does not claim that the request was not run
     */
    public Refusal toUnknown() {
        return execution == Execution.NOT_RUN ? ofUnknown(reason, retryAfterMs) : this;
    }
}
