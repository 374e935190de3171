package io.cranberryarch.context;

import java.util.Locale;

/** Whether the upstream executed a request. */
public enum Execution {
    /** The upstream ran the request. */
    RUN,
    /** No upstream ran the request, and none will run it in this attempt. */
    NOT_RUN,
    /** The upstream may have run the request. */
    UNKNOWN;

    /**
     * Returns the name used in headers and bodies.
     *
     * @return "run", "not-run" or "unknown"
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
