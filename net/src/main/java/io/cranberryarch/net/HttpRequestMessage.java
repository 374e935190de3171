package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * A whole HTTP request.
 *
 * @param method the method
 * @param target path and query as they were sent
 * @param headers all headers in order
 * @param body the body without its transfer coding
 * @param hasBody whether the request announced a body, which may be empty
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequestMessage(
        String method, String target, List<HeaderField> headers, byte[] body, boolean hasBody) {

    /**
     * Finds the first header of a name.
     *
     * @param name the name, in any case
     * @return its value, or empty
     */
    public Optional<String> findHeader(String name) {
        return HttpHeaders.find(headers, name);
    }

    /**
     * Gets the path.
     *
     * @return the target without its query
     */
    public String getPath() {
        int end = target.indexOf('?');
        return end < 0 ? target : target.substring(0, end);
    }
}
