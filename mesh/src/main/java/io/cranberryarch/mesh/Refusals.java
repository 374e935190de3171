package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.HttpResponseMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Makes the answers of the node itself, in the place of an upstream's. */
final class Refusals {

    /** The reason of a request that cannot be read. */
    static final String MALFORMED = "request-malformed";

    private static final int MS_PER_S = 1_000;

    private Refusals() {}

    /**
     * Makes an answer.
     *
     * @param status the status; all but 502 and 504 say that the request has not run
     * @param reason the reason, of letters and hyphens
     * @param retryAfterMs when the caller should come back in milliseconds, 0 to leave it open
     * @param headers further headers
     * @return the answer
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

    /** Writes seconds with three decimals. A formatter would take longer than the rest of a refusal. */
    static String toSeconds(long ms) {
        String decimals = String.valueOf(MS_PER_S + ms % MS_PER_S).substring(1);
        return ms / MS_PER_S + "." + decimals;
    }
}
