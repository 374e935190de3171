package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsGap;
import io.cranberryarch.api.Outcome;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Writes a report as text. */
public final class TextReportFormatter {

    private static final int MAX_GAPS = 20;
    private static final int MINUTES_PER_HOUR = 60;

    private TextReportFormatter() {}

    /**
     * Writes a report.
     *
     * @param report the report, not {@code null}
     * @return the page
     */
    public static String format(DayReport report) {
        StringBuilder page = new StringBuilder();
        line(page, "Report of %s (UTC)", report.day());
        line(page, "%s", toHeadline(report));
        line(page, "Score %.4f of 1, by the weights under /owner/report", report.score());
        table(page, "Client account / kind", report.lines());
        table(page, "Availability zone", report.zones());
        line(page, "");
        Optional<ReportLine> lowestGoodput = report.lowestGoodput();
        lowestGoodput.ifPresent(l -> line(
                page,
                "Worst served: %s, goodput %.3f %%",
                l.name(),
                100 * l.counts().toGoodput()));
        report.refusalsBelowRate()
                .forEach((account, count) -> line(
                        page,
                        "%s: at most %d refusals over rate fell in minutes in which less than the rate was charged",
                        account,
                        count));
        line(page, "Rejected as wrong or without a valid key: %d", report.rejected());
        if (report.overloads().isEmpty()) {
            line(page, "No overload");
        }
        for (OverloadPeriod overload : report.overloads()) {
            line(page, "%s", toText(overload));
        }
        line(page, "");
        gaps(page, report);
        return page.toString();
    }

    static String toHeadline(DayReport report) {
        return switch (report.verdict()) {
            case WELL -> "The day went WELL for all " + report.lines().size() + " accounts and kinds.";
            case NOT_WELL ->
                "The day did NOT go WELL for " + report.countNotWell() + " of "
                        + report.lines().size() + " accounts and kinds.";
            case INCOMPLETE -> "The day went well as far as is known; the figures are INCOMPLETE.";
        };
    }

    static String toText(OverloadPeriod overload) {
        String end = overload.hasEnded()
                ? "good again at " + toTime(overload.untilMinute()) + ", recovery " + overload.toDurationMinutes()
                        + " min"
                : "not good again by " + toTime(overload.untilMinute());
        return "Overload of " + overload.kind() + " from " + toTime(overload.fromMinute()) + ", " + end;
    }

    static String toText(CountsGap gap) {
        return gap.source().instance() + " (" + gap.source().zone() + ", process "
                + gap.source().incarnation() + "): " + gap.count() + " "
                + gap.reason().toText();
    }

    private static void table(StringBuilder page, String title, List<ReportLine> lines) {
        line(page, "");
        line(
                page,
                "%-36s %10s %9s %9s %9s %9s %9s %9s  %s",
                title,
                "requests",
                "goodput%",
                "refused",
                "shed",
                "over-rate",
                "unknown",
                "up-error",
                "verdict");
        for (ReportLine item : lines) {
            OutcomeCounts counts = item.counts();
            line(
                    page,
                    "%-36s %10d %9.3f %9d %9d %9d %9d %9d  %s: %s",
                    item.name(),
                    counts.getTotal(),
                    100 * counts.toGoodput(),
                    counts.getRefusedWithinRate(),
                    counts.get(Outcome.SHED),
                    counts.get(Outcome.OVER_RATE),
                    counts.get(Outcome.UNKNOWN),
                    counts.get(Outcome.UPSTREAM_ERROR),
                    item.verdict().toText(),
                    item.reason());
        }
    }

    private static void gaps(StringBuilder page, DayReport report) {
        if (report.gaps().isEmpty()) {
            line(page, "The figures are complete: %d processes reported, no gap.", report.reportingProcesses());
            return;
        }
        line(page, "The figures are INCOMPLETE: %d processes reported.", report.reportingProcesses());
        for (CountsGap gap :
                report.gaps().subList(0, Math.min(MAX_GAPS, report.gaps().size()))) {
            line(page, "  %s", toText(gap));
        }
        if (report.gaps().size() > MAX_GAPS) {
            line(page, "  and %d more", report.gaps().size() - MAX_GAPS);
        }
    }

    private static String toTime(int minute) {
        return String.format(Locale.ROOT, "%02d:%02d", minute / MINUTES_PER_HOUR, minute % MINUTES_PER_HOUR);
    }

    private static void line(StringBuilder page, String format, Object... values) {
        page.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
