package io.cranberryarch.mesh;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shortens headers in messages between nodes by encoding common names as a single control character. All nodes of a
 * version use the same codes. Names without a code are sent unchanged; they cannot be mistaken for a code, as no header
 * name begins with a control character.
 */
final class CompactHeaders {

    private static final List<String> COMMON_NAMES = List.of(
            "Host",
            "Accept",
            "Accept-Encoding",
            "Cache-Control",
            "Content-Encoding",
            "Content-Type",
            "Date",
            "ETag",
            "Location",
            "Retry-After",
            "Server",
            "User-Agent",
            "Vary");

    private final List<String> names = new ArrayList<>(COMMON_NAMES);
    private final Map<String, String> codes = new HashMap<>();

    CompactHeaders(HeaderNames platformNames) {
        names.addAll(List.of(
                platformNames.requestId(),
                platformNames.account(),
                platformNames.callerService(),
                platformNames.instance(),
                platformNames.responseStamp()));
        for (int i = 0; i < names.size(); i++) {
            codes.put(names.get(i), toCode(i));
        }
    }

    List<HeaderField> shorten(List<HeaderField> headers) {
        List<HeaderField> shortened = new ArrayList<>(headers.size());
        for (HeaderField header : headers) {
            shortened.add(new HeaderField(codes.getOrDefault(header.name(), header.name()), header.value()));
        }
        return shortened;
    }

    List<HeaderField> expand(List<HeaderField> headers) {
        List<HeaderField> expanded = new ArrayList<>(headers.size());
        for (HeaderField header : headers) {
            expanded.add(isCode(header.name()) ? new HeaderField(toName(header.name()), header.value()) : header);
        }
        return expanded;
    }

    private static String toCode(int index) {
        return String.valueOf((char) (index + 1));
    }

    private boolean isCode(String name) {
        return name.length() == 1 && name.charAt(0) <= names.size() && name.charAt(0) > 0;
    }

    private String toName(String code) {
        return names.get(code.charAt(0) - 1);
    }
}
