package io.cranberryarch.mesh;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shortens headers between nodes: common names travel as a single character. All nodes of a version use the same codes;
 * names without a code travel as they are, and no name of a header begins with a control character.
 */
final class CompactHeaders {

    private static final List<String> COMMON = List.of(
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

    private final List<String> names = new ArrayList<>(COMMON);
    private final Map<String, String> codes = new HashMap<>();

    CompactHeaders(HeaderNames platform) {
        names.addAll(List.of(
                platform.requestId(),
                platform.account(),
                platform.callerService(),
                platform.instance(),
                platform.responseStamp()));
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
