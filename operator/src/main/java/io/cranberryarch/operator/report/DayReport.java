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
 * @param lowestGoodput the account and kind with the least goodput
 * @param rejected requests that were wrong or came without a valid key
 * @param overloads the times of overload
 * @param refusalsBelowRate refusals because of the rate in minutes in which the account stayed below its rate, at most
 * @param reportingProcesses the number of processes that reported
 * @param gaps why the counts are not complete, empty if they are
 */
public record DayReport(
        String day,
        Verdict verdict,
        double score,
        List<ReportLine> lines,
        List<ReportLine> zones,
        Optional<ReportLine> lowestGoodput,
        long rejected,
        List<OverloadPeriod> overloads,
        Map<String, Long> refusalsBelowRate,
        int reportingProcesses,
        List<CountsGap> gaps) {

    private static final int SECONDS_PER_MINUTE = 60;
    private static final String OPEN_ROUTES_LABEL = "(open)";

    /** Copies the lists. */
    public DayReport {
        lines = List.copyOf(lines);
        zones = List.copyOf(zones);
        overloads = List.copyOf(overloads);
        refusalsBelowRate = new TreeMap<>(refusalsBelowRate);
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
        Map<String, Long> refusalsBelowRate = findRefusalsBelowRate(counts, rates);
        List<OverloadPeriod> overloads = OverloadPeriod.find(counts.kindMinutes(), settings.minGoodRatio());
        LineEvaluator evaluator = new LineEvaluator(settings, refusalsBelowRate, overloads, !gaps.isEmpty());
        List<ReportLine> lines = evaluator.toLines(
                group(counts.totals(), row -> toAccountLabel(row.account()) + " / " + row.kind()), true);
        List<ReportLine> zones = evaluator.toLines(group(counts.totals(), CountsBody.Row::zone), false);
        boolean areTargetsMet = lines.stream().noneMatch(line -> line.verdict() == Verdict.NOT_WELL);
        Verdict verdictIfMet = gaps.isEmpty() ? Verdict.WELL : Verdict.INCOMPLETE;
        Set<String> instances = new HashSet<>();
        counts.sources().forEach(source -> instances.add(source.instance() + "/" + source.incarnation()));
        return new DayReport(
                day,
                areTargetsMet ? verdictIfMet : Verdict.NOT_WELL,
                new ScoreCalculator(settings).compute(counts.totals(), overloads),
                lines,
                zones,
                lines.stream()
                        .filter(line -> line.counts().getDue() > 0)
                        .min(Comparator.comparingDouble(line -> line.counts().toGoodput())),
                counts.totals().stream()
                        .filter(row -> row.outcome() == Outcome.CLIENT_ERROR)
                        .mapToLong(CountsBody.Row::count)
                        .sum(),
                overloads,
                refusalsBelowRate,
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

    static Map<String, OutcomeCounts> group(Collection<CountsBody.Row> rows, Function<CountsBody.Row, String> toName) {
        Map<String, OutcomeCounts> groups = new TreeMap<>();
        for (CountsBody.Row row : rows) {
            groups.computeIfAbsent(toName.apply(row), key -> new OutcomeCounts())
                    .add(row.outcome(), row.count());
        }
        return groups;
    }

    static String toAccountLabel(String account) {
        return account.isEmpty() ? OPEN_ROUTES_LABEL : account;
    }

    /** Finds refusals because of the rate in minutes in which less than the rate was charged. */
    private static Map<String, Long> findRefusalsBelowRate(CountsBody counts, Map<String, Double> rates) {
        Map<String, Long> found = new TreeMap<>();
        for (CountsBody.AccountMinute minute : counts.accountMinutes()) {
            Double rate = rates.get(minute.account());
            if (rate == null || minute.overRate() == 0) {
                continue;
            }
            long unusedAllowance = (long) (rate * SECONDS_PER_MINUTE) - minute.charged();
            if (unusedAllowance > 0) {
                found.merge(minute.account(), Math.min(unusedAllowance, minute.overRate()), Long::sum);
            }
        }
        return found;
    }

    /** Judges lines by the targets. */
    private record LineEvaluator(
            ReportSettings settings,
            Map<String, Long> refusalsBelowRate,
            List<OverloadPeriod> overloads,
            boolean isIncomplete) {

        List<ReportLine> toLines(Map<String, OutcomeCounts> groups, boolean isRecoveryEvaluated) {
            List<ReportLine> lines = new ArrayList<>();
            groups.forEach((name, counts) -> {
                if (counts.hasEvaluableRequests()) {
                    lines.add(toLine(name, counts, isRecoveryEvaluated));
                }
            });
            return lines;
        }

        private ReportLine toLine(String name, OutcomeCounts counts, boolean isRecoveryEvaluated) {
            List<String> reasons = new ArrayList<>();
            long refused = counts.getRefusedWithinRate();
            if (1 - OutcomeCounts.toRatio(refused, Math.max(1, counts.getDue())) < settings.minGoodRatio()) {
                reasons.add(refused + " refused within rate");
            }
            if (counts.toGoodput() < settings.minGoodRatio()) {
                reasons.add(String.format("goodput %.3f %%", 100 * counts.toGoodput()));
            }
            if (isRecoveryEvaluated) {
                addRecoveryReason(name.substring(name.lastIndexOf(" / ") + 3), reasons);
            }
            if (!reasons.isEmpty()) {
                return new ReportLine(name, counts, Verdict.NOT_WELL, String.join(", ", reasons));
            }
            if (isIncomplete) {
                return new ReportLine(name, counts, Verdict.INCOMPLETE, "well as far as is known");
            }
            String unknownNote = counts.get(Outcome.UNKNOWN) > 0 ? ", " + counts.get(Outcome.UNKNOWN) + " unknown" : "";
            return new ReportLine(name, counts, Verdict.WELL, "all targets met" + unknownNote);
        }

        private void addRecoveryReason(String kind, List<String> reasons) {
            int longestMinutes = 0;
            for (OverloadPeriod overload : overloads) {
                if (overload.kind().equals(kind)) {
                    longestMinutes = Math.max(longestMinutes, overload.toDurationMinutes());
                }
            }
            if (longestMinutes > settings.maxRecoveryMinutes()) {
                reasons.add("recovery took " + longestMinutes + " min");
            }
        }
    }
}
