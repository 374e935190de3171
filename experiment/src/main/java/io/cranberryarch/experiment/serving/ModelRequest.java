package io.cranberryarch.experiment.serving;

import io.cranberryarch.experiment.serving.ServingScenario.RequestSpec;

/**
 * A request or nested call as forwarded between nodes.
 *
 * @param spec its kind
 * @param rootRoute the route of the request at the root of its call tree
 * @param rank the rank of that request
 * @param isNested whether an upstream sent it
 * @param isRepeat whether it was sent before, or is nested in a repeated run
 * @param deadlineMs the time at which its answer is due
 */
record ModelRequest(RequestSpec spec, String rootRoute, int rank, boolean isNested, boolean isRepeat, long deadlineMs) {

    ModelRequest toAttempt(boolean isResend) {
        return new ModelRequest(spec, rootRoute, rank, isNested, isRepeat || isResend, deadlineMs);
    }

    ModelRequest toNested(RequestSpec call, long nowMs) {
        long callDeadlineMs = Math.min(deadlineMs, nowMs + call.timeoutMs());
        return new ModelRequest(call, rootRoute, rank, true, isRepeat, callDeadlineMs);
    }
}
