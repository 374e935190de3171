package io.cranberryarch.operator;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.settings.ReportSettings;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the report on a day, from the counts that a node reads. */
@Command(name = "report", description = "Prints a report on whether a day went well.", mixinStandardHelpOptions = true)
public final class ReportCommand implements Callable<Integer> {

    private static final Pattern RATE_PATH = Pattern.compile("/teams/[^/]+/accounts/([^/]+)/rate");

    @Mixin
    private NodeOptions node;

    @Option(names = "--day", defaultValue = "today", description = "the day as YYYY-MM-DD in UTC, or today")
    private String day;

    @Option(names = "--html", description = "also writes the report as one HTML file")
    private Optional<Path> html = Optional.empty();

    @Override
    public Integer call() throws CommandException {
        LocalDate date = DayReportPrinter.parseDate(day);
        try (AdminClient client = node.connect()) {
            CountsBody counts = client.readCounts(date.toString());
            Map<String, String> settings = client.readSettings("/").values();
            DayReportPrinter.print(date, counts, ReportSettings.of(settings), toRates(settings), html);
            return ExitCodes.OK;
        } catch (SettingsException e) {
            throw new CommandException(ExitCodes.REFUSED, "invalid-settings", e.getFaults());
        } catch (IOException e) {
            throw new CommandException(ExitCodes.REFUSED, "page-not-written", List.of(String.valueOf(e.getMessage())));
        }
    }

    private static Map<String, Double> toRates(Map<String, String> settings) {
        Map<String, Double> rates = new HashMap<>();
        settings.forEach((path, value) -> {
            Matcher matcher = RATE_PATH.matcher(path);
            if (matcher.matches()) {
                rates.put(matcher.group(1), Double.valueOf(value));
            }
        });
        return rates;
    }
}
