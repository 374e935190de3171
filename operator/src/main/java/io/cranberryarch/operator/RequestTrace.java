package io.cranberryarch.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the log lines of one request from several nodes, together with the preceding lines on changes of the state
 * of each node.
 *
 * <pre>
 * RequestTrace trace = new RequestTrace("9c41d07be2a35f68");
 * lines.forEach(line -&gt; trace.add("node-a.log", line));
 * trace.toText();
 * </pre>
 */
public final class RequestTrace {

    /** Events that change the state of a node. The latest one of each is shown before the lines of the request. */
    private static final List<String> NODE_STATE_EVENTS =
            List.of("rules-changed", "upstream-changed", "store-lost", "store-regained", "settings-reloaded");

    private static final Map<String, String> OUTCOME_DESCRIPTIONS = Map.ofEntries(
            Map.entry("over-rate", "the client account was over its rate; not run"),
            Map.entry("key-rejected", "no client account holds the key under the rules in force; not run"),
            Map.entry("no-route", "no route matches host and path under the rules in force; not run"),
            Map.entry("rules-unknown", "the node had no rules yet; not run"),
            Map.entry("no-parent", "a call without key belonged to no run on the node; not run"),
            Map.entry("no-instance", "no instance of the service could be reached"),
            Map.entry("overloaded", "the gate of the instance had no room before the deadline; not run"),
            Map.entry("timeout", "no response before the deadline"),
            Map.entry("peer-lost", "the connection to the node of the instance was lost"),
            Map.entry("peer-silent", "the node of the instance stopped responding"),
            Map.entry(
                    "upstream-connection-lost", "the upstream closed its connection before the response was complete"),
            Map.entry("upstream-unreachable", "the upstream accepted no connection; not run"),
            Map.entry("rejected-by-upstream", "the upstream rejected it; not run"),
            Map.entry("caller-left", "the caller closed its connection"),
            Map.entry(
                    "node-stopping", "the node of the caller ended before the response; not run if the status is 503"),
            Map.entry("leaving", "the instance was shutting down; not run"),
            Map.entry("no-upstream", "the node of the instance had no upstream yet; not run"),
            Map.entry("wrong-service", "the node now serves another service; not run"),
            Map.entry("upstream-replaced", "another instance responded at the upstream's address; not run"),
            Map.entry("answer-without-id", "the upstream's response carried no request identifier"),
            Map.entry(
                    "refusal-repeated",
                    "the upstream refused a request with this identifier before, and may have sent that refusal again"),
            Map.entry("rate-exceeded", "the client account was over its rate; not run"),
            Map.entry("rate-unavailable", "the node received no tokens of the account's rate in time; not run"),
            Map.entry("deadline-exceeded", "no response before the deadline"),
            Map.entry("draining", "the instance was draining; not run"),
            Map.entry("settings-unavailable", "the node had no settings yet; not run"),
            Map.entry("upstream-failed", "the upstream closed its connection before the response was complete"),
            Map.entry("idempotency-unknown", "an earlier attempt under the same idempotency key may have run"),
            Map.entry("answered", "the upstream responded with an error"));

    private final String requestId;
    private final List<LogLine> lines = new ArrayList<>();
    private final Map<String, Map<String, LogLine>> pendingStateEvents = new HashMap<>();

    /**
     * Creates a trace without lines.
     *
     * @param requestId the identifier of the request, not {@code null}
     */
    public RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Adds a line of a log, in the order of the log. The word before the time, if a log collector added one, identifies
     * the process that wrote the line. Lines without an event are ignored.
     *
     * @param file the name of the file with the line, which identifies the process if the line does not
     * @param text the line, not {@code null}
     */
    public void add(String file, String text) {
        Optional<LogLine> parsed = LogLine.parse(file, text);
        if (parsed.isEmpty()) {
            return;
        }
        LogLine line = parsed.get();
        if (NODE_STATE_EVENTS.contains(line.event())) {
            pendingStateEvents
                    .computeIfAbsent(line.source(), unused -> new LinkedHashMap<>())
                    .put(line.event(), line);
        }
        if (requestId.equals(line.fields().get("request"))) {
            lines.addAll(
                    pendingStateEvents.getOrDefault(line.source(), Map.of()).values());
            pendingStateEvents.remove(line.source());
            lines.add(line);
        }
    }

    /**
     * Checks whether no line of the request was found.
     *
     * @return whether the trace is empty
     */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Formats the lines in order of time, each followed by the description of its outcome if there is one.
     *
     * @return the text, with a line feed after every line
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
}
