package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Functions on headers of HTTP messages. */
public final class HttpHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HttpHeaders() {}

    /**
     * Finds the first header of a name.
     *
     * @param headers the headers
     * @param name the name, in any case
     * @return its value, or empty
     */
    public static Optional<String> find(List<HeaderField> headers, String name) {
        for (HeaderField header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Keeps the headers that concern the whole way of a message and not only one connection.
     *
     * @param headers the headers of a received message
     * @param dropped further names to leave out, in lower case
     * @return the remaining headers in order, modifiable
     */
    public static List<HeaderField> toEndToEnd(List<HeaderField> headers, Set<String> dropped) {
        Set<String> named = toConnectionOptions(headers);
        List<HeaderField> kept = new ArrayList<>(headers.size() + 4);
        for (HeaderField header : headers) {
            String name = header.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name) && !dropped.contains(name)) {
                kept.add(header);
            }
        }
        return kept;
    }

    /**
     * Gets the options of all Connection headers.
     *
     * @param headers the headers of a message
     * @return the options in lower case
     */
    public static Set<String> toConnectionOptions(List<HeaderField> headers) {
        Set<String> options = Set.of();
        for (HeaderField header : headers) {
            if (!header.name().equalsIgnoreCase("connection")) {
                continue;
            }
            if (options.isEmpty()) {
                options = new HashSet<>();
            }
            for (String option : header.value().toLowerCase(Locale.ROOT).split(",")) {
                options.add(option.strip());
            }
        }
        return options;
    }
}
