package io.cranberryarch.context;

import java.util.List;
import java.util.Map;

/**
 * The outcome of a forwarded request at the node of an instance.
 *
 * @param execution whether the request ran
 * @param reason why there is no answer of the upstream, empty if there is one
 * @param status the status of the upstream's answer, 0 if there is none
 * @param headers its headers
 * @param body its whole body
 * @param slotTimesMs milliseconds of slots that the request and its nested calls used, by service
 * @param limit requests that the instance runs at once at most
 * @param inFlight requests that run or wait at the instance
 * @param upstreamFailureRatio the share of requests that its upstream fails by itself, from 0 to 1
 */
@SuppressWarnings("ArrayRecordComponent")
public record ForwardedAnswer(
        Execution execution,
        String reason,
        int status,
        List<HeaderField> headers,
        byte[] body,
        Map<String, Double> slotTimesMs,
        int limit,
        int inFlight,
        double upstreamFailureRatio) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates an outcome that says nothing about the load of an instance.
     *
     * @param execution whether the request ran
     * @param reason why there is no answer
     * @return the outcome
     */
    public static ForwardedAnswer ofFailure(Execution execution, String reason) {
        return ofFailure(execution, reason, 0, 0, 0);
    }

    /**
     * Creates an outcome without an answer of the upstream.
     *
     * @param execution whether the request ran
     * @param reason why there is no answer
     * @param limit the limit of the instance, 0 if unknown
     * @param inFlight its busy requests
     * @param upstreamFailureRatio the share of requests that its upstream fails by itself
     * @return the outcome
     */
    public static ForwardedAnswer ofFailure(
            Execution execution, String reason, int limit, int inFlight, double upstreamFailureRatio) {
        return new ForwardedAnswer(
                execution, reason, 0, List.of(), NO_BODY, Map.of(), limit, inFlight, upstreamFailureRatio);
    }

    /**
     * Tells whether the upstream gave an answer.
     *
     * @return whether there is one
     */
    public boolean isAnswered() {
        return status != 0;
    }

    /**
     * Creates a copy with other headers.
     *
     * @param others the headers
     * @return the copy
     */
    public ForwardedAnswer withHeaders(List<HeaderField> others) {
        return new ForwardedAnswer(
                execution, reason, status, others, body, slotTimesMs, limit, inFlight, upstreamFailureRatio);
    }
}
