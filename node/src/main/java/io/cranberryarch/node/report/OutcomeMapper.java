package io.cranberryarch.node.report;

import io.cranberryarch.api.Outcome;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Execution;
import io.cranberryarch.context.Refusal;

/** Maps the final result of a request to the outcome counted in reports. */
public final class OutcomeMapper {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private OutcomeMapper() {}

    /**
     * Returns the outcome of a request.
     *
     * @param result the final result, not {@code null}
     * @return the outcome
     */
    public static Outcome of(CallResult result) {
        if (result.refusal().isPresent()) {
            return of(result.refusal().get());
        }
        return result.status() < MIN_SERVER_ERROR_STATUS ? Outcome.OK : Outcome.UPSTREAM_ERROR;
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
