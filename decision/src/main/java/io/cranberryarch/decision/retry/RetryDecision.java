package io.cranberryarch.decision.retry;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;

/**
 * Decides whether a refused call may be tried at another instance.
 *
 * <pre>
 * if (RetryDecision.isAllowed(refusal, idempotent) &amp;&amp; budget.trySpend()) {
 *     // try again
 * }
 * </pre>
 */
public final class RetryDecision {

    private RetryDecision() {}

    /**
     * Checks whether another attempt only goes to the right place, so that it adds no load to a destination in trouble.
     *
     * @param refusal the refusal of the last attempt, not {@code null}
     * @return whether the instance did no work because it is leaving or does not own the idempotency key
     */
    public static boolean isRedirect(Refusal refusal) {
        boolean elsewhere =
                refusal.reason() == RefusalReason.DRAINING || refusal.reason() == RefusalReason.NOT_KEY_OWNER;
        return elsewhere && refusal.execution() == Execution.NOT_RUN;
    }

    /**
     * Checks whether another attempt is allowed, apart from the budget.
     *
     * @param refusal the refusal of the last attempt, not {@code null}
     * @param idempotent whether the call may run more than once
     * @return whether the reason is worth another attempt and the call cannot run twice by it
     */
    public static boolean isAllowed(Refusal refusal, boolean idempotent) {
        boolean safe = idempotent || refusal.execution() == Execution.NOT_RUN;
        return switch (refusal.reason()) {
            case DRAINING, PEER_LOST, UPSTREAM_FAILED -> safe;
            default -> false;
        };
    }
}
