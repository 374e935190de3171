package io.cranberryarch.context;

import java.util.List;
import java.util.Map;

/**
 * The outcome of a forwarded request at the node of an instance.
 *
 * @param execution whether the request ran
 * @param reason the reason why there is no answer of the upstream, or {@link #NESTED_CALL_FAILED}; else empty
 * @param status the status of the upstream's answer, 0 if there is none
 * @param headers the headers of the upstream's answer
 * @param body the complete body of the upstream's answer, not copied
 * @param slotTimesMs the slot time that the request and its nested calls used, in milliseconds by service
 * @param limit the number of requests that the instance runs concurrently at full load, 0 if unknown
 * @param inFlight the number of requests that run or wait at the instance
 * @param upstreamFailureRatio the ratio of requests that fail at the upstream itself, from 0 to 1
 */
@SuppressWarnings("ArrayRecordComponent")
public record ForwardedAnswer(
        Execution execution,
        String reason,
        int status,
        List<HeaderField> headers,
        byte[] body,
        Map<String, Double> slotTimesMs,
        double limit,
        int inFlight,
        double upstreamFailureRatio) {

    /** The reason of an answer of the upstream after the service of a nested call had failed or refused the call. */
    public static final String NESTED_CALL_FAILED = "nested-call-failed";

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates an outcome without an answer of the upstream and without the load of an instance.
     *
     * @param execution whether the request ran
     * @param reason the reason why there is no answer
     * @return the outcome
     */
    public static ForwardedAnswer ofFailure(Execution execution, String reason) {
        return ofFailure(execution, reason, 0, 0, 0);
    }

    /**
     * Creates an outcome without an answer of the upstream.
     *
     * @param execution whether the request ran
     * @param reason the reason why there is no answer
     * @param limit the number of requests that the instance runs concurrently at full load, 0 if unknown
     * @param inFlight the number of requests that run or wait at the instance
     * @param upstreamFailureRatio the ratio of requests that fail at the upstream itself, from 0 to 1
     * @return the outcome
     */
    public static ForwardedAnswer ofFailure(
            Execution execution, String reason, double limit, int inFlight, double upstreamFailureRatio) {
        return new ForwardedAnswer(
                execution, reason, 0, List.of(), NO_BODY, Map.of(), limit, inFlight, upstreamFailureRatio);
    }

    /**
     * Checks whether the upstream answered.
     *
     * @return whether there is an answer of the upstream
     */
    public boolean isAnswered() {
        return status != 0;
    }

    /**
     * Checks whether a nested call of the run failed because of the service that it was sent to, so that it would fail
     * in a repeated run as well.
     *
     * @return whether such a call failed before the upstream answered
     */
    public boolean isNestedCallFailed() {
        return isAnswered() && reason.equals(NESTED_CALL_FAILED);
    }

    /**
     * Creates a copy with other headers.
     *
     * @param newHeaders the headers
     * @return the copy
     */
    public ForwardedAnswer withHeaders(List<HeaderField> newHeaders) {
        return new ForwardedAnswer(
                execution, reason, status, newHeaders, body, slotTimesMs, limit, inFlight, upstreamFailureRatio);
    }
}
