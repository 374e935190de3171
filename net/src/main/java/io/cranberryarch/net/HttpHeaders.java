package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Utility methods for the headers of HTTP messages. */
public final class HttpHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
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
     * Finds the first header with a name.
     *
     * @param headers the headers
     * @param name the name, case-insensitive
     * @return the value, or empty if there is none
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
     * Removes the hop-by-hop headers: those that apply to a single connection and must not be forwarded.
     *
     * @param headers the headers of a received message
     * @param excluded names of further headers to remove, in lower case
     * @return the end-to-end headers in their order, as a modifiable list
     */
    public static List<HeaderField> toEndToEnd(List<HeaderField> headers, Set<String> excluded) {
        Set<String> connectionOptions = toConnectionOptions(headers);
        List<HeaderField> kept = new ArrayList<>(headers.size() + 4);
        for (HeaderField header : headers) {
            String name = header.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name) && !excluded.contains(name)) {
                kept.add(header);
            }
        }
        return kept;
    }

    /**
     * Returns the connection options of all Connection headers.
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
