package io.cranberryarch.decision.retry;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;

/**
 * Decides whether a refused call may be retried at another instance.
 *
 * <pre>
 * if (RetryDecision.isAllowed(refusal, idempotent) &amp;&amp; budget.trySpend()) {
 *     // retry
 * }
 * </pre>
 */
public final class RetryDecision {

    private RetryDecision() {}

    /**
     * Returns whether another attempt is only a redirect, which adds no load to an overloaded or failing destination.
     *
     * @param refusal the refusal of the last attempt, not {@code null}
     * @return whether the instance did not run the call because it is draining or does not own the idempotency key
     */
    public static boolean isRedirect(Refusal refusal) {
        boolean isElsewhere =
                refusal.reason() == RefusalReason.DRAINING || refusal.reason() == RefusalReason.NOT_KEY_OWNER;
        return isElsewhere && refusal.execution() == Execution.NOT_RUN;
    }

    /**
     * Returns whether another attempt is allowed, regardless of the budget.
     *
     * @param refusal the refusal of the last attempt, not {@code null}
     * @param idempotent whether the call may run more than once
     * @return whether the refusal reason is retryable and the retry cannot run a non-idempotent call twice
     */
    public static boolean isAllowed(Refusal refusal, boolean idempotent) {
        boolean isSafe = idempotent || refusal.execution() == Execution.NOT_RUN;
        return switch (refusal.reason()) {
            case DRAINING, PEER_LOST, UPSTREAM_FAILED -> isSafe;
            default -> false;
        };
    }
}
