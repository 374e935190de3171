package io.cranberryarch.node.report;

import io.cranberryarch.api.Outcome;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;

/** Tells the outcome that the report counts from the final answer to a request. */
public final class OutcomeMapper {

    private static final int FIRST_SERVER_ERROR = 500;

    private OutcomeMapper() {}

    /**
     * Tells the outcome of a request.
     *
     * @param result the final answer, not {@code null}
     * @return the outcome
     */
    public static Outcome of(CallResult result) {
        if (result.refusal().isPresent()) {
            return of(result.refusal().get());
        }
        return result.status() < FIRST_SERVER_ERROR ? Outcome.OK : Outcome.UPSTREAM_ERROR;
    }

    private static Outcome of(Refusal refusal) {
        return switch (refusal.reason()) {
            case BAD_REQUEST, BODY_INCOMPLETE, BODY_TOO_LARGE, IDEMPOTENCY_MISMATCH, KEY_REJECTED, NO_ROUTE ->
                Outcome.CLIENT_ERROR;
            case RATE_EXCEEDED -> Outcome.OVER_RATE;
            case OVERLOADED -> refusal.execution() == Execution.NOT_RUN ? Outcome.SHED : Outcome.UNKNOWN;
            default -> refusal.execution() == Execution.NOT_RUN ? Outcome.UNAVAILABLE : Outcome.UNKNOWN;
        };
    }
}
