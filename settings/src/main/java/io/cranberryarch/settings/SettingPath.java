package io.cranberryarch.settings;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The path of one shared setting, such as {@code /teams/orders/accounts/acme/rate}.
 *
 * <pre>
 * SettingPath path = SettingPath.of("/teams/orders/routes/pay/service");
 * path.getTeam(); // Optional of "orders"
 * </pre>
 *
 * @param segments the segments between slashes, not empty, copied
 */
public record SettingPath(List<String> segments) implements Comparable<SettingPath> {

    /** The maximum length of a path, in characters. */
    public static final int MAX_LENGTH = 200;

    private static final Pattern SEGMENT = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final String TEAMS = "teams";
    private static final String KEYS = "keys";
    private static final int KEY_ID_INDEX = 3;

    /** Copies the segments. */
    public SettingPath {
        segments = List.copyOf(segments);
    }

    /**
     * Parses a path.
     *
     * @param text the path, starting with a slash, not {@code null}
     * @return the path
     * @throws SettingsException if the text is not a path
     */
    public static SettingPath of(String text) throws SettingsException {
        if (!text.startsWith("/") || text.length() > MAX_LENGTH) {
            throw fault(text, "must start with '/' and have at most " + MAX_LENGTH + " characters");
        }
        List<String> segments = List.of(text.substring(1).split("/", -1));
        for (String segment : segments) {
            if (!SEGMENT.matcher(segment).matches()) {
                throw fault(text, "segment '" + segment + "' must be lower-case letters, digits, '.', '_' or '-'");
            }
        }
        return new SettingPath(segments);
    }

    /**
     * Returns the team whose subtree contains this path.
     *
     * @return the team, or empty if the path belongs only to the owner
     */
    public Optional<String> getTeam() {
        return segments.size() > 1 && segments.get(0).equals(TEAMS) ? Optional.of(segments.get(1)) : Optional.empty();
    }

    /**
     * Returns the key that this path belongs to.
     *
     * @return the public identifier of the key, or empty if the path is not part of a key
     */
    public Optional<String> getKeyId() {
        boolean isKey = getTeam().isPresent()
                && segments.size() > KEY_ID_INDEX
                && segments.get(KEY_ID_INDEX - 1).equals(KEYS);
        return isKey ? Optional.of(segments.get(KEY_ID_INDEX)) : Optional.empty();
    }

    /**
     * Checks whether this path equals another path or is below it.
     *
     * @param prefix the other path as text, not {@code null}; "/" contains every path
     * @return whether this path is in that subtree
     */
    public boolean isWithin(String prefix) {
        String text = toString();
        return prefix.equals("/") || text.equals(prefix) || text.startsWith(prefix + "/");
    }

    @Override
    public int compareTo(SettingPath other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return "/" + String.join("/", segments);
    }

    private static SettingsException fault(String text, String reason) {
        return new SettingsException(List.of("path '" + text + "': " + reason));
    }
}
