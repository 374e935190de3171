package io.cranberryarch.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the lines of one request in the logs of several nodes, with what the nodes believed at that time.
 *
 * <pre>
 * RequestTrace trace = new RequestTrace("9c41d07be2a35f68");
 * lines.forEach(line -&gt; trace.add("node-a.log", line));
 * trace.toText();
 * </pre>
 */
public final class RequestTrace {

    private static final Pattern FIELD = Pattern.compile("([a-z][a-z-]*)=(\"[^\"]*\"|\\S+)");
    private static final Pattern TIME = Pattern.compile("\\d{4}-\\d{2}-\\d{2}T\\S+");

    /** Events that change what a node believes and are shown before the lines of the request. */
    private static final List<String> NODE_STATE_EVENTS =
            List.of("rules-changed", "upstream-changed", "store-lost", "store-regained", "settings-reloaded");

    private static final Map<String, String> OUTCOME_DESCRIPTIONS = Map.ofEntries(
            Map.entry("over-rate", "the client account was over its rate; not run"),
            Map.entry("key-rejected", "no client account holds the key under the rules in force; not run"),
            Map.entry("no-route", "no route matches host and path under the rules in force; not run"),
            Map.entry("rules-unknown", "the node had no rules yet; not run"),
            Map.entry("no-parent", "a call without key belonged to no run that the node knows; not run"),
            Map.entry("no-instance", "no instance of the service could be reached"),
            Map.entry("overloaded", "the gate of the instance had no room before the deadline; not run"),
            Map.entry("timeout", "no answer before the deadline"),
            Map.entry("peer-lost", "the connection to the node of the instance was lost"),
            Map.entry("peer-silent", "the node of the instance fell silent"),
            Map.entry("upstream-connection-lost", "the upstream closed its connection without a whole answer"),
            Map.entry("upstream-unreachable", "the upstream took no connection; not run"),
            Map.entry("rejected-by-upstream", "the upstream rejected it; not run"),
            Map.entry("caller-left", "the caller closed its connection"),
            Map.entry("leaving", "the instance was about to end; not run"),
            Map.entry("no-upstream", "the node of the instance knew no upstream yet; not run"),
            Map.entry("wrong-service", "the node runs another service by now; not run"),
            Map.entry("upstream-replaced", "another instance answered at the upstream's address; not run"),
            Map.entry("answer-without-id", "the upstream's answer belonged to no request"),
            Map.entry("rate-exceeded", "the client account was over its rate; not run"),
            Map.entry("rate-unavailable", "the node got no tokens of the account's rate in time; not run"),
            Map.entry("deadline-exceeded", "no answer before the deadline"),
            Map.entry("draining", "the instance was about to end; not run"),
            Map.entry("settings-unavailable", "the node had no settings yet; not run"),
            Map.entry("upstream-failed", "the upstream closed its connection without a whole answer"),
            Map.entry("idempotency-unknown", "an earlier attempt under the same idempotency key may have run"),
            Map.entry("answered", "the upstream answered with a failure"));

    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>();
    private final Map<String, Map<String, LogLine>> pendingStateEvents = new HashMap<>();

    /**
     * Creates a trace without lines.
     *
     * @param requestId the identifier of the request
     */
    public RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Adds a line of a log, in the order of the log. A word before the time, as collectors of logs add it, names the
     * process that wrote the line.
     *
     * @param file the file with the line, which names the process if the line does not
     * @param text the line
     */
    public void add(String file, String text) {
        Map<String, String> fields = parseFields(text);
        String event = fields.get("event");
        if (event == null) {
            return;
        }
        Matcher time = TIME.matcher(text);
        boolean hasTime = time.find();
        String prefix = hasTime ? text.substring(0, time.start()).strip() : "";
        String source = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
        LogLine line = new LogLine(source, hasTime ? time.group() : "", event, fields);
        if (NODE_STATE_EVENTS.contains(event)) {
            pendingStateEvents
                    .computeIfAbsent(source, unused -> new LinkedHashMap<>())
                    .put(event, line);
        }
        if (requestId.equals(fields.get("request"))) {
            lines.addAll(pendingStateEvents.getOrDefault(source, Map.of()).values());
            pendingStateEvents.remove(source);
            lines.add(line);
        }
    }

    /**
     * Tells whether no line of the request was found.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Writes the lines in order of time, with the cause of each end.
     *
     * @return the text, one line each
     */
    public String toText() {
        List<LogLine> sorted = new ArrayList<>(lines);
        sorted.sort(Comparator.comparing(LogLine::time));
        StringBuilder text = new StringBuilder();
        for (LogLine line : sorted) {
            text.append(line.time())
                    .append(' ')
                    .append(line.source())
                    .append(' ')
                    .append(line.event());
            line.fields().forEach((name, value) -> {
                if (!name.equals("event") && !name.equals("request")) {
                    text.append(' ').append(name).append('=').append(value);
                }
            });
            text.append('\n');
            describeOutcome(line.fields())
                    .ifPresent(description ->
                            text.append("    ").append(description).append('\n'));
        }
        return text.toString();
    }

    private static Optional<String> describeOutcome(Map<String, String> fields) {
        String outcome = fields.getOrDefault("outcome", fields.getOrDefault("reason", ""));
        if (outcome.startsWith("overload-of-")) {
            String service = outcome.substring("overload-of-".length());
            return Optional.of("refused at the entry, as its call tree needs " + service + ", which is overloaded");
        }
        return Optional.ofNullable(OUTCOME_DESCRIPTIONS.get(outcome));
    }

    private static Map<String, String> parseFields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(2));
        }
        return fields;
    }

    /** A line of a log. */
    private record LogLine(String source, String time, String event, Map<String, String> fields) {}
}
