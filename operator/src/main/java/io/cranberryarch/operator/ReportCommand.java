package io.cranberryarch.operator;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.operator.report.DayReport;
import io.cranberryarch.operator.report.HtmlPage;
import io.cranberryarch.operator.report.TextPage;
import io.cranberryarch.settings.ReportSettings;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints one page about a day. */
@Command(name = "report", description = "Prints one page that says whether a day went well.")
public final class ReportCommand implements Callable<Integer> {

    private static final Pattern RATE = Pattern.compile("/teams/[^/]+/accounts/([^/]+)/rate");
    private static final long MINUTES_A_DAY = TimeUnit.DAYS.toMinutes(1);

    @Mixin
    private NodeOptions node;

    @Option(names = "--day", defaultValue = "today", description = "the day as YYYY-MM-DD in UTC, or today")
    private String day;

    @Option(names = "--html", description = "also writes the page as one HTML file")
    private Optional<Path> html = Optional.empty();

    @Override
    public Integer call() throws ApiFailure {
        LocalDate date = toDate(day);
        try (AdminClient client = node.connect()) {
            CountsBody counts = client.readCounts(date.toString());
            Map<String, String> settings = client.readSettings("/").values();
            long startMs = date.atStartOfDay().toInstant(ZoneOffset.UTC).toEpochMilli();
            List<CountsGap> gaps = CountsGap.find(counts, startMs, toNowMinute(startMs));
            DayReport report =
                    DayReport.of(date.toString(), counts, ReportSettings.of(settings), toRates(settings), gaps);
            System.out.print(TextPage.of(report));
            if (html.isPresent()) {
                Files.writeString(html.get(), HtmlPage.of(report, counts.kindMinutes()));
            }
            return ExitCodes.OK;
        } catch (SettingsException e) {
            throw new ApiFailure(ExitCodes.REFUSED, "invalid-settings", e.getFaults());
        } catch (IOException e) {
            throw new ApiFailure(ExitCodes.REFUSED, "page-not-written", List.of(String.valueOf(e.getMessage())));
        }
    }

    private static LocalDate toDate(String day) throws ApiFailure {
        if (day.equals("today")) {
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

    private static Map<String, Double> toRates(Map<String, String> settings) {
        Map<String, Double> rates = new HashMap<>();
        settings.forEach((path, value) -> {
            Matcher matcher = RATE.matcher(path);
            if (matcher.matches()) {
                rates.put(matcher.group(1), Double.valueOf(value));
            }
        });
        return rates;
    }
}
