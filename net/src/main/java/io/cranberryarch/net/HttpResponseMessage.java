package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * A whole HTTP response.
 *
 * @param status the status code
 * @param headers all headers in order
 * @param body the body without its transfer coding
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponseMessage(int status, List<HeaderField> headers, byte[] body) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates a response without a body.
     *
     * @param status the status code
     * @param headers its headers
     * @return the response
     */
    public static HttpResponseMessage ofEmpty(int status, HeaderField... headers) {
        return new HttpResponseMessage(status, List.of(headers), NO_BODY);
    }

    /**
     * Finds the first header of a name.
     *
     * @param name the name, in any case
     * @return its value, or empty
     */
    public Optional<String> findHeader(String name) {
        return HttpHeaders.find(headers, name);
    }
}
