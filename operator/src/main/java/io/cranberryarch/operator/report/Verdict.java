package io.cranberryarch.operator.report;

import java.util.Locale;

/** The result of comparing a day with the targets. */
public enum Verdict {
    /** All targets were met. */
    WELL,
    /** A target was missed. */
    NOT_WELL,
    /** The counts at hand meet all targets, but they are not complete. */
    INCOMPLETE;

    /**
     * Returns the text for the report.
     *
     * @return the name in upper case, with spaces between the words
     */
    public String toText() {
        return name().toUpperCase(Locale.ROOT).replace('_', ' ');
    }
}
