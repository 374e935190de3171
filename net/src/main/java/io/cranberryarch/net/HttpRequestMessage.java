package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP request.
 *
 * @param method the method
 * @param target the request target: path and query as received
 * @param headers all headers in the order of the message
 * @param body the body, with the transfer coding removed
 * @param hasBody whether the request declares a body, which may be empty
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequestMessage(
        String method, String target, List<HeaderField> headers, byte[] body, boolean hasBody) {

    /**
     * Finds the first header with a name.
     *
     * @param name the name, case-insensitive
     * @return the value, or empty if there is none
     */
    public Optional<String> findHeader(String name) {
        return HttpHeaders.find(headers, name);
    }

    /**
     * Returns the path.
     *
     * @return the target without its query
     */
    public String getPath() {
        int end = target.indexOf('?');
        return end < 0 ? target : target.substring(0, end);
    }
}
