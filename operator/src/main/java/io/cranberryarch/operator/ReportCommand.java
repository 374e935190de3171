package io.cranberryarch.operator;

import io.cranberryarch.api.CountsBody;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints one page about a day. */
@Command(name = "report", description = "Prints one page that says whether a day went well.")
public final class ReportCommand implements Callable<Integer> {

    @Mixin
    private NodeOptions node;

    @Option(names = "--day", defaultValue = "today", description = "the day as YYYY-MM-DD in UTC, or today")
    private String day;

    @Override
    public Integer call() throws ApiFailure {
        String date = day.equals("today") ? LocalDate.now(ZoneOffset.UTC).toString() : day;
        try (AdminClient client = node.connect()) {
            System.out.println("Report of " + date);
            for (Map.Entry<String, Map<String, Long>> entry :
                    group(client.readCounts(date)).entrySet()) {
                long total = entry.getValue().values().stream()
                        .mapToLong(Long::longValue)
                        .sum();
                long ok = entry.getValue().getOrDefault("ok", 0L);
                System.out.printf(
                        "%-40s %8d requests %6.2f %% whole answers %s%n",
                        entry.getKey(), total, 100.0 * ok / total, entry.getValue());
            }
            return ExitCodes.OK;
        }
    }

    private static Map<String, Map<String, Long>> group(CountsBody counts) {
        Map<String, Map<String, Long>> groups = new TreeMap<>();
        for (CountsBody.Row row : counts.rows()) {
            String account = row.account().isEmpty() ? "(open)" : row.account();
            groups.computeIfAbsent(account + " / " + row.kind(), key -> new TreeMap<>())
                    .merge(row.outcome(), row.count(), Long::sum);
        }
        return groups;
    }
}
