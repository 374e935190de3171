package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.settings.ReportSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Says whether a day went well for every client account and every kind of request.
 *
 * <pre>
 * DayReport report = DayReport.of("2026-12-04", counts, settings, rates, gaps);
 * report.verdict(); // Verdict.WELL
 * </pre>
 *
 * @param day the day as YYYY-MM-DD
 * @param verdict how the day went
 * @param score what the owner's weights make of the day, from 0 to 1
 * @param lines one line for each client account and kind
 * @param zones one line for each availability zone
 * @param worst the account and kind with the least goodput
 * @param rejected requests that were wrong or came without a valid key
 * @param overloads the times of overload
 * @param doubtfulRefusals refusals because of the rate in minutes in which the account stayed below its rate, at most
 * @param sources the number of processes that reported
 * @param gaps why the counts are not complete, empty if they are
 */
public record DayReport(
        String day,
        Verdict verdict,
        double score,
        List<Line> lines,
        List<Line> zones,
        Optional<Line> worst,
        long rejected,
        List<Overload> overloads,
        Map<String, Long> doubtfulRefusals,
        int sources,
        List<CountsGap> gaps) {

    private static final int SECONDS_A_MINUTE = 60;
    private static final String OPEN = "(open)";

    /** Copies the lists. */
    public DayReport {
        lines = List.copyOf(lines);
        zones = List.copyOf(zones);
        overloads = List.copyOf(overloads);
        doubtfulRefusals = new TreeMap<>(doubtfulRefusals);
        gaps = List.copyOf(gaps);
    }

    /**
     * Computes a report.
     *
     * @param day the day as YYYY-MM-DD
     * @param counts the counts of the day
     * @param settings targets and weights
     * @param rates the rate of each client account in requests a second
     * @param gaps why the counts are not complete
     * @return the report
     */
    public static DayReport of(
            String day, CountsBody counts, ReportSettings settings, Map<String, Double> rates, List<CountsGap> gaps) {
        Map<String, Long> doubtful = findDoubtful(counts, rates);
        List<Overload> overloads = Overload.find(counts.kindMinutes(), settings.minGoodRatio());
        Judge judge = new Judge(settings, doubtful, overloads, !gaps.isEmpty());
        List<Line> lines =
                judge.toLines(group(counts.totals(), row -> toAccount(row.account()) + " / " + row.kind()), true);
        List<Line> zones = judge.toLines(group(counts.totals(), CountsBody.Row::zone), false);
        boolean isWell = lines.stream().noneMatch(line -> line.verdict() == Verdict.NOT_WELL);
        Verdict known = gaps.isEmpty() ? Verdict.WELL : Verdict.INCOMPLETE;
        Set<String> instances = new HashSet<>();
        counts.sources().forEach(source -> instances.add(source.instance() + "/" + source.incarnation()));
        return new DayReport(
                day,
                isWell ? known : Verdict.NOT_WELL,
                new Score(settings).compute(counts.totals(), overloads),
                lines,
                zones,
                lines.stream()
                        .filter(line -> line.tally().getDue() > 0)
                        .min(Comparator.comparingDouble(line -> line.tally().toGoodput())),
                counts.totals().stream()
                        .filter(row -> row.outcome() == Outcome.CLIENT_ERROR)
                        .mapToLong(CountsBody.Row::count)
                        .sum(),
                overloads,
                doubtful,
                instances.size(),
                gaps);
    }

    /**
     * Counts the lines on which a target was missed.
     *
     * @return the number of lines
     */
    public long countNotWell() {
        return lines.stream().filter(line -> line.verdict() == Verdict.NOT_WELL).count();
    }

    static Map<String, Tally> group(Collection<CountsBody.Row> rows, Function<CountsBody.Row, String> toName) {
        Map<String, Tally> groups = new TreeMap<>();
        for (CountsBody.Row row : rows) {
            groups.computeIfAbsent(toName.apply(row), key -> new Tally()).add(row.outcome(), row.count());
        }
        return groups;
    }

    static String toAccount(String account) {
        return account.isEmpty() ? OPEN : account;
    }

    /** Finds refusals because of the rate in minutes in which less than the rate was charged. */
    private static Map<String, Long> findDoubtful(CountsBody counts, Map<String, Double> rates) {
        Map<String, Long> found = new TreeMap<>();
        for (CountsBody.AccountMinute minute : counts.accountMinutes()) {
            Double rate = rates.get(minute.account());
            if (rate == null || minute.overRate() == 0) {
                continue;
            }
            long room = (long) (rate * SECONDS_A_MINUTE) - minute.charged();
            if (room > 0) {
                found.merge(minute.account(), Math.min(room, minute.overRate()), Long::sum);
            }
        }
        return found;
    }

    /** Judges lines by the targets. */
    private record Judge(
            ReportSettings settings, Map<String, Long> doubtful, List<Overload> overloads, boolean isIncomplete) {

        List<Line> toLines(Map<String, Tally> groups, boolean isRecoveryJudged) {
            List<Line> lines = new ArrayList<>();
            groups.forEach((name, tally) -> {
                if (tally.isServed()) {
                    lines.add(toLine(name, tally, isRecoveryJudged));
                }
            });
            return lines;
        }

        private Line toLine(String name, Tally tally, boolean isRecoveryJudged) {
            List<String> reasons = new ArrayList<>();
            long refused = tally.getRefusedWithinRate();
            if (1 - Tally.toShare(refused, Math.max(1, tally.getDue())) < settings.minGoodRatio()) {
                reasons.add(refused + " refused within rate");
            }
            if (tally.toGoodput() < settings.minGoodRatio()) {
                reasons.add(String.format("goodput %.3f %%", 100 * tally.toGoodput()));
            }
            if (isRecoveryJudged) {
                addRecovery(name.substring(name.lastIndexOf(" / ") + 3), reasons);
            }
            if (!reasons.isEmpty()) {
                return new Line(name, tally, Verdict.NOT_WELL, String.join(", ", reasons));
            }
            if (isIncomplete) {
                return new Line(name, tally, Verdict.INCOMPLETE, "well as far as is known");
            }
            String unsure = tally.get(Outcome.UNKNOWN) > 0 ? ", " + tally.get(Outcome.UNKNOWN) + " unknown" : "";
            return new Line(name, tally, Verdict.WELL, "all targets met" + unsure);
        }

        private void addRecovery(String kind, List<String> reasons) {
            int longest = 0;
            for (Overload overload : overloads) {
                if (overload.kind().equals(kind)) {
                    longest = Math.max(longest, overload.toMinutes());
                }
            }
            if (longest > settings.maxRecoveryMinutes()) {
                reasons.add("recovery took " + longest + " min");
            }
        }
    }
}
