package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers all headers in the order of the message
 * @param body the body, with the transfer coding removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponseMessage(int status, List<HeaderField> headers, byte[] body) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates a response without a body.
     *
     * @param status the status code
     * @param headers the headers
     * @return the response
     */
    public static HttpResponseMessage ofEmpty(int status, HeaderField... headers) {
        return new HttpResponseMessage(status, List.of(headers), NO_BODY);
    }

    /**
     * Finds the first header with a name.
     *
     * @param name the name, case-insensitive
     * @return the value, or empty if there is none
     */
    public Optional<String> findHeader(String name) {
        return HttpHeaders.find(headers, name);
    }
}
