package io.cranberryarch.operator.report;

import java.util.Locale;

/** How a day went. */
public enum Verdict {
    /** All targets were met. */
    WELL,
    /** A target was missed. */
    NOT_WELL,
    /** The targets were met as far as is known, but the counts are not complete. */
    INCOMPLETE;

    /**
     * Gets the words for the page.
     *
     * @return the upper-case text
     */
    public String toText() {
        return name().toUpperCase(Locale.ROOT).replace('_', ' ');
    }
}
