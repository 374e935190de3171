package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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

    private static final Pattern ABSOLUTE_FORM = Pattern.compile("(?i:https?)://([^/?#]+)([^#]*)");

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
     * Returns the request with its target in origin form. A target in absolute form selects the host by its authority,
     * whatever the Host header says (RFC 9112, section 3.2.2).
     *
     * @return this request if its target is not in absolute form, else a copy with the authority as its Host header
     */
    HttpRequestMessage toOriginForm() {
        if (target.startsWith("/")) {
            return this;
        }
        Matcher absolute = ABSOLUTE_FORM.matcher(target);
        if (!absolute.matches()) {
            return this;
        }
        String pathAndQuery = absolute.group(2);
        List<HeaderField> newHeaders = new ArrayList<>();
        newHeaders.add(new HeaderField("Host", absolute.group(1)));
        for (HeaderField header : headers) {
            if (!header.name().equalsIgnoreCase("Host")) {
                newHeaders.add(header);
            }
        }
        String newTarget = pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery;
        return new HttpRequestMessage(method, newTarget, newHeaders, body, hasBody);
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
