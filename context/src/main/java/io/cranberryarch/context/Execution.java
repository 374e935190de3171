package io.cranberryarch.context;

import java.util.Locale;

/** What is known about the execution of a request by its upstream. */
public enum Execution {
    /** The upstream ran the request. */
    RUN,
    /** No upstream ran the request, and none will under this attempt. */
    NOT_RUN,
    /** The upstream may have run the request. */
    UNKNOWN;

    /**
     * Gets the name used in headers and bodies.
     *
     * @return "run", "not-run" or "unknown"
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
