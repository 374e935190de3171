package io.cranberryarch.operator;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.operator.report.DayReport;
import io.cranberryarch.operator.report.HtmlReportFormatter;
import io.cranberryarch.operator.report.TextReportFormatter;
import io.cranberryarch.settings.ReportSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Prints the page about a day, wherever its counts were read. */
public final class DayReportPrinter {

    private static final long MINUTES_PER_DAY = TimeUnit.DAYS.toMinutes(1);
    private static final String TODAY = "today";

    private DayReportPrinter() {}

    /**
     * Prints the page, and writes it as an HTML file if asked to.
     *
     * @param date the day in UTC
     * @param counts the counts of the day
     * @param settings targets and weights
     * @param rates the rate of each client account in requests a second
     * @param html the HTML file, or empty for none
     * @throws IOException if the file cannot be written
     */
    public static void print(
            LocalDate date, CountsBody counts, ReportSettings settings, Map<String, Double> rates, Optional<Path> html)
            throws IOException {
        long startMs = date.atStartOfDay().toInstant(ZoneOffset.UTC).toEpochMilli();
        List<CountsGap> gaps = CountsGap.find(counts, startMs, toCurrentMinute(startMs));
        DayReport report = DayReport.of(date.toString(), counts, settings, rates, gaps);
        System.out.print(TextReportFormatter.format(report));
        if (html.isPresent()) {
            Files.writeString(html.get(), HtmlReportFormatter.format(report, counts.kindMinutes()));
        }
    }

    /**
     * Reads the option for the day.
     *
     * @param day a day as YYYY-MM-DD, or "today"
     * @return the day in UTC
     * @throws CommandException if it is neither
     */
    public static LocalDate parseDate(String day) throws CommandException {
        if (day.equals(TODAY)) {
            return LocalDate.now(ZoneOffset.UTC);
        }
        try {
            return LocalDate.parse(day);
        } catch (DateTimeParseException e) {
            throw new CommandException(
                    ExitCodes.USAGE, "bad-day", List.of("--day: expected YYYY-MM-DD, found '" + day + "'"));
        }
    }

    private static int toCurrentMinute(long startMs) {
        long minute = TimeUnit.MILLISECONDS.toMinutes(Instant.now().toEpochMilli() - startMs);
        return (int) Math.max(0, Math.min(MINUTES_PER_DAY, minute));
    }
}
