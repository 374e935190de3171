package io.cranberryarch.context;

/**
 * The final outcome of a request that was refused or abandoned.
 *
 * @param reason the reason
 * @param execution whether the upstream executed the request
 * @param retryAfterMs the delay before a retry, in milliseconds, 0 if a retry is of no use
 */
public record Refusal(RefusalReason reason, Execution execution, long retryAfterMs) {

    /**
     * Creates a refusal of a request that was not run.
     *
     * @param reason the reason
     * @param retryAfterMs the delay before a retry, in milliseconds
     * @return the refusal
     */
    public static Refusal ofNotRun(RefusalReason reason, long retryAfterMs) {
        return new Refusal(reason, Execution.NOT_RUN, retryAfterMs);
    }

    /**
     * Creates a refusal of a request that may have run.
     *
     * @param reason the reason
     * @param retryAfterMs the delay before a retry, in milliseconds
     * @return the refusal
     */
    public static Refusal ofUnknown(RefusalReason reason, long retryAfterMs) {
        return new Refusal(reason, Execution.UNKNOWN, retryAfterMs);
    }

    /**
     * Returns this refusal for a request of which an earlier attempt may have run.
     *
     * @return a refusal with {@link Execution#UNKNOWN} in place of {@link Execution#NOT_RUN}
     */
    public Refusal toUnknown() {
        return execution == Execution.NOT_RUN ? ofUnknown(reason, retryAfterMs) : this;
    }
}
