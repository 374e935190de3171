package io.cranberryarch.operator;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.operator.report.DayReport;
import io.cranberryarch.operator.report.HtmlPage;
import io.cranberryarch.operator.report.TextPage;
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
public final class DayPage {

    private static final long MINUTES_A_DAY = TimeUnit.DAYS.toMinutes(1);
    private static final String TODAY = "today";

    private DayPage() {}

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
        List<CountsGap> gaps = CountsGap.find(counts, startMs, toNowMinute(startMs));
        DayReport report = DayReport.of(date.toString(), counts, settings, rates, gaps);
        System.out.print(TextPage.of(report));
        if (html.isPresent()) {
            Files.writeString(html.get(), HtmlPage.of(report, counts.kindMinutes()));
        }
    }

    /**
     * Reads the option for the day.
     *
     * @param day a day as YYYY-MM-DD, or "today"
     * @return the day in UTC
     * @throws ApiFailure if it is neither
     */
    public static LocalDate toDate(String day) throws ApiFailure {
        if (day.equals(TODAY)) {
            return LocalDate.now(ZoneOffset.UTC);
        }
        try {
            return LocalDate.parse(day);
        } catch (DateTimeParseException e) {
            throw new ApiFailure(
                    ExitCodes.USAGE, "bad-day", List.of("--day: expected YYYY-MM-DD, found '" + day + "'"));
        }
    }

    private static int toNowMinute(long startMs) {
        long minute = TimeUnit.MILLISECONDS.toMinutes(Instant.now().toEpochMilli() - startMs);
        return (int) Math.max(0, Math.min(MINUTES_A_DAY, minute));
    }
}
