package io.cranberryarch.operator;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts from the logs of nodes which requests of callers were not served, when, at which service and for what reason,
 * and which nested calls failed.
 *
 * <pre>
 * LossTable table = new LossTable(2);
 * lines.forEach(line -&gt; table.add("node-a.log", line));
 * table.toText();
 * </pre>
 */
public final class LossTable {

    private static final String NO_TIME = "(no time)";

    private final long intervalS;
    private final Map<String, Map<Loss, Count>> requests = new TreeMap<>();
    private final Map<Loss, Count> requestTotals = new TreeMap<>(Loss.ORDER);
    private final Map<Loss, Count> nestedTotals = new TreeMap<>(Loss.ORDER);
    private long droppedLines;

    /**
     * Creates an empty table.
     *
     * @param intervalS the length of an interval in seconds, at least 1
     */
    public LossTable(long intervalS) {
        this.intervalS = intervalS;
    }

    /**
     * Adds a line of a log. Lines about other events are ignored.
     *
     * @param file the name of the file with the line
     * @param text the line, not {@code null}
     */
    public void add(String file, String text) {
        LogLine.parse(file, text).ifPresent(this::add);
    }

    private void add(LogLine line) {
        if (line.event().equals("log-left-out")) {
            droppedLines += toLong(line.get("lines", "0"));
        }
        if (!line.event().equals("request-ended")) {
            return;
        }
        Loss loss = new Loss(
                line.get("route", "none"),
                line.get("service", "-"),
                line.get("status", "0") + " " + line.get("outcome", "unknown"));
        long tookMs = toLong(line.get("took-ms", "0"));
        if (line.get("nested", "false").equals("true")) {
            nestedTotals.computeIfAbsent(loss, unused -> new Count()).add(tookMs);
            return;
        }
        requestTotals.computeIfAbsent(loss, unused -> new Count()).add(tookMs);
        requests.computeIfAbsent(toInterval(line.time()), unused -> new TreeMap<>(Loss.ORDER))
                .computeIfAbsent(loss, unused -> new Count())
                .add(tookMs);
    }

    /**
     * Formats the table: all losses first, then those of each interval, then the nested calls that failed.
     *
     * @return the text, with a line feed after every line
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        append(text, "requests of callers", requestTotals);
        requests.forEach((interval, counts) -> append(text, "from " + interval, counts));
        append(text, "nested calls", nestedTotals);
        if (droppedLines > 0) {
            text.append(droppedLines)
                    .append(" lines are missing from the logs, so the counts are too low; see the metric requests\n");
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String title, Map<Loss, Count> counts) {
        text.append(title).append('\n');
        List<Map.Entry<Loss, Count>> sorted = new ArrayList<>(counts.entrySet());
        sorted.sort(Comparator.comparing(entry -> -entry.getValue().count));
        for (Map.Entry<Loss, Count> entry : sorted) {
            Loss loss = entry.getKey();
            text.append(String.format(
                    Locale.ROOT,
                    "  %6d  %-28s route %-16s service %-16s %6d ms%n",
                    entry.getValue().count,
                    loss.reason(),
                    loss.route(),
                    loss.service(),
                    entry.getValue().sumMs / entry.getValue().count));
        }
    }

    private String toInterval(String time) {
        try {
            long second = Instant.parse(time).getEpochSecond();
            return Instant.ofEpochSecond(second - Math.floorMod(second, intervalS))
                    .toString();
        } catch (DateTimeException e) {
            // A line without a readable time still counts.
            return NO_TIME;
        }
    }

    private static long toLong(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    /**
     * A kind of loss.
     *
     * @param route the route of the request
     * @param service the service that the request was for
     * @param reason the status and the outcome
     */
    private record Loss(String route, String service, String reason) {

        private static final Comparator<Loss> ORDER =
                Comparator.comparing(Loss::reason).thenComparing(Loss::route).thenComparing(Loss::service);
    }

    /** The number of losses of one kind and the time that they took. */
    private static final class Count {

        private long count;
        private long sumMs;

        private void add(long tookMs) {
            count++;
            sumMs += tookMs;
        }
    }
}
