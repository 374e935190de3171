package io.cranberryarch.context;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Reads the creation time of time-ordered identifiers (UUID version 7, RFC 9562).
 *
 * <pre>
 * TimeOrderedKey.toCreatedAtMs("0190163d-8694-739b-aea5-966c26f8ad91"); // OptionalLong of 1718500000404
 * </pre>
 */
public final class TimeOrderedKey {

    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
    private static final int HEX_RADIX = 16;

    private TimeOrderedKey() {}

    /**
     * Returns the creation time of an identifier.
     *
     * @param text the idempotency key, not {@code null}
     * @return the wall-clock time in milliseconds since 1970, or empty if the text is not a lower-case UUID version 7
     */
    public static OptionalLong toCreatedAtMs(String text) {
        if (!UUID_V7.matcher(text).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.substring(0, 8) + text.substring(9, 13), HEX_RADIX));
    }
}
