package io.cranberryarch.settings;

/**
 * A rule for requests under a path prefix.
 *
 * @param name the name, unique in the fleet
 * @param prefix the path prefix, starting with a slash
 * @param service the service whose upstreams serve the requests
 * @param kind the kind of request, by which metrics and the report are grouped
 * @param priority the importance
 * @param idempotent whether a request may run more than once
 * @param open whether callers need no key
 * @param timeoutMs the maximum time for a complete answer, in milliseconds
 */
public record Route(
        String name,
        String prefix,
        String service,
        String kind,
        Priority priority,
        boolean idempotent,
        boolean open,
        long timeoutMs) {

    /** The default timeout of a route, in milliseconds. */
    public static final long DEFAULT_TIMEOUT_MS = 5_000;

    /**
     * Checks whether a request path matches this route.
     *
     * @param path the path of the request without its query, not {@code null}
     * @return whether the prefix matches at a segment boundary
     */
    public boolean isMatch(String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
    }
}
