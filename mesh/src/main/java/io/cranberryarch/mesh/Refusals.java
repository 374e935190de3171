package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.HttpResponseMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Builds the responses that the node itself sends instead of an upstream. */
final class Refusals {

    /** The reason for refusing a request that cannot be parsed. */
    static final String MALFORMED = "request-malformed";

    private static final int MS_PER_S = 1_000;

    private Refusals() {}

    /**
     * Builds a response with a JSON body that states the reason and whether the request ran.
     *
     * @param status the HTTP status; all but 502 and 504 state that the request has not run
     * @param reason the reason, made of letters and hyphens
     * @param retryAfterMs the Retry-After time in milliseconds, sent with 429 and 503 only; 0 to send none
     * @param headers additional headers
     * @return the response
     */
    static HttpResponseMessage of(int status, String reason, long retryAfterMs, List<HeaderField> headers) {
        List<HeaderField> all = new ArrayList<>(headers);
        if (retryAfterMs > 0 && (status == 503 || status == 429)) {
            all.add(new HeaderField("Retry-After", toSeconds(retryAfterMs)));
        }
        if (status == 401) {
            all.add(new HeaderField("WWW-Authenticate", "Bearer"));
        }
        all.add(new HeaderField("Content-Type", "application/json"));
        Execution execution = status == 502 || status == 504 ? Execution.UNKNOWN : Execution.NOT_RUN;
        String body = "{\"reason\":\"" + reason + "\",\"execution\":\"" + execution.toText() + "\"}";
        return new HttpResponseMessage(status, all, body.getBytes(StandardCharsets.US_ASCII));
    }

    /** Formats a time as seconds with three decimals. A formatter would take longer than the rest of a refusal. */
    static String toSeconds(long ms) {
        String decimals = String.valueOf(MS_PER_S + ms % MS_PER_S).substring(1);
        return ms / MS_PER_S + "." + decimals;
    }
}
