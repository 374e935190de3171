package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsGap;
import io.cranberryarch.api.Outcome;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Writes a report as text. */
public final class TextPage {

    private static final int MAX_GAPS = 20;
    private static final int MINUTES_AN_HOUR = 60;

    private TextPage() {}

    /**
     * Writes a report.
     *
     * @param report the report, not {@code null}
     * @return the page
     */
    public static String of(DayReport report) {
        StringBuilder page = new StringBuilder();
        line(page, "Report of %s (UTC)", report.day());
        line(page, "%s", toHeadline(report));
        line(page, "Score %.4f of 1, by the weights under /owner/report", report.score());
        table(page, "Client account / kind", report.lines());
        table(page, "Availability zone", report.zones());
        line(page, "");
        Optional<Line> worst = report.worst();
        worst.ifPresent(w -> line(
                page,
                "Worst served: %s, goodput %.3f %%",
                w.name(),
                100 * w.tally().toGoodput()));
        report.doubtfulRefusals()
                .forEach((account, count) -> line(
                        page,
                        "%s: at most %d refusals over rate fell in minutes in which less than the rate was charged",
                        account,
                        count));
        line(page, "Rejected as wrong or without a valid key: %d", report.rejected());
        if (report.overloads().isEmpty()) {
            line(page, "No overload");
        }
        for (Overload overload : report.overloads()) {
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

    static String toText(Overload overload) {
        String end = overload.isOver()
                ? "good again at " + toTime(overload.untilMinute()) + ", recovery " + overload.toMinutes() + " min"
                : "not good again by " + toTime(overload.untilMinute());
        return "Overload of " + overload.kind() + " from " + toTime(overload.fromMinute()) + ", " + end;
    }

    static String toText(CountsGap gap) {
        return gap.source().instance() + " (" + gap.source().zone() + ", process "
                + gap.source().incarnation() + "): " + gap.count() + " "
                + gap.reason().toText();
    }

    private static void table(StringBuilder page, String title, List<Line> lines) {
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
        for (Line item : lines) {
            Tally tally = item.tally();
            line(
                    page,
                    "%-36s %10d %9.3f %9d %9d %9d %9d %9d  %s: %s",
                    item.name(),
                    tally.getTotal(),
                    100 * tally.toGoodput(),
                    tally.getRefusedWithinRate(),
                    tally.get(Outcome.SHED),
                    tally.get(Outcome.OVER_RATE),
                    tally.get(Outcome.UNKNOWN),
                    tally.get(Outcome.UPSTREAM_ERROR),
                    item.verdict().toText(),
                    item.reason());
        }
    }

    private static void gaps(StringBuilder page, DayReport report) {
        if (report.gaps().isEmpty()) {
            line(page, "The figures are complete: %d processes reported, no gap.", report.sources());
            return;
        }
        line(page, "The figures are INCOMPLETE: %d processes reported.", report.sources());
        for (CountsGap gap :
                report.gaps().subList(0, Math.min(MAX_GAPS, report.gaps().size()))) {
            line(page, "  %s", toText(gap));
        }
        if (report.gaps().size() > MAX_GAPS) {
            line(page, "  and %d more", report.gaps().size() - MAX_GAPS);
        }
    }

    private static String toTime(int minute) {
        return String.format(Locale.ROOT, "%02d:%02d", minute / MINUTES_AN_HOUR, minute % MINUTES_AN_HOUR);
    }

    private static void line(StringBuilder page, String format, Object... values) {
        page.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
