package io.cranberryarch.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a node's log about an event.
 *
 * @param source the process that wrote the line
 * @param time the time as written, empty if there is none
 * @param event the name of the event
 * @param fields all fields by name, in the order of the line
 */
record LogLine(String source, String time, String event, Map<String, String> fields) {

    private static final Pattern FIELD = Pattern.compile("([a-z][a-z-]*)=(\"[^\"]*\"|\\S+)");
    private static final Pattern TIME = Pattern.compile("\\d{4}-\\d{2}-\\d{2}T\\S+");

    /**
     * Parses a line. The word before the time, if a log collector added one, identifies the process that wrote it.
     *
     * @param file the name of the file with the line, which identifies the process if the line does not
     * @param text the line, not {@code null}
     * @return the line, or empty if it has no event
     */
    static Optional<LogLine> parse(String file, String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(2));
        }
        String event = fields.get("event");
        if (event == null) {
            return Optional.empty();
        }
        Matcher time = TIME.matcher(text);
        boolean hasTime = time.find();
        String prefix = hasTime ? text.substring(0, time.start()).strip() : "";
        String source = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
        return Optional.of(new LogLine(source, hasTime ? time.group() : "", event, fields));
    }

    /** Returns the value of a field, or a fallback if the line does not have it. */
    String get(String field, String fallback) {
        return fields.getOrDefault(field, fallback);
    }
}
