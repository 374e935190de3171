package io.cranberryarch.settings;

import java.util.Locale;
import java.util.Optional;

/** The importance of a request. Less important requests are refused first under overload. */
public enum Priority {
    /** The highest priority, refused last. */
    CRITICAL,
    /** More important than the default. */
    HIGH,
    /** The default priority. */
    NORMAL,
    /** The lowest priority, refused first. */
    LOW;

    /**
     * Parses a priority.
     *
     * @param text the name in any case, not {@code null}
     * @return the priority, or empty if the name is unknown
     */
    public static Optional<Priority> of(String text) {
        for (Priority priority : values()) {
            if (priority.name().equals(text.toUpperCase(Locale.ROOT))) {
                return Optional.of(priority);
            }
        }
        return Optional.empty();
    }

    /**
     * Checks whether this priority is higher than another one.
     *
     * @param other the other priority, not {@code null}
     * @return whether this priority is refused later than the other one
     */
    public boolean isHigherThan(Priority other) {
        return ordinal() < other.ordinal();
    }

    /**
     * Returns the name used in settings and headers.
     *
     * @return the lower-case name
     */
    public String toText() {
        return name().toLowerCase(Locale.ROOT);
    }
}
