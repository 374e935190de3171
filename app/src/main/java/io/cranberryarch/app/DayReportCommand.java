package io.cranberryarch.app;

import io.cranberryarch.base.Clock;
import io.cranberryarch.counts.CountsNames;
import io.cranberryarch.counts.CountsSum;
import io.cranberryarch.counts.Increment;
import io.cranberryarch.mesh.SharedStore;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.operator.CommandException;
import io.cranberryarch.operator.DayReportPrinter;
import io.cranberryarch.operator.ExitCodes;
import io.cranberryarch.platform.OperatorDocumentReader;
import io.cranberryarch.platform.PlatformStore;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.settings.ReportSettings;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.store.PlatformException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the page about a day of a fleet on a hosted platform, from the counts in the platform's object store. */
@Command(
        name = "day-report",
        description = "Prints one page that says whether a day went well on a hosted platform.",
        mixinStandardHelpOptions = true)
final class DayReportCommand implements Callable<Integer> {

    /** The longest wait for one answer of the store, above the time-out of its client. */
    private static final long RESPONSE_TIMEOUT_MS = 10_000;

    @Option(names = "--store", required = true, description = "the address of the platform's store, IP:PORT")
    private String store;

    @Option(names = "--day", defaultValue = "today", description = "the day as YYYY-MM-DD in UTC, or today")
    private String day;

    @Option(names = "--html", description = "also writes the page as one HTML file")
    private Optional<Path> html = Optional.empty();

    @Option(names = "--delete", description = "deletes the counts of the day once the page is written")
    private boolean deletesCounts;

    @Override
    public Integer call() throws CommandException, IOException {
        LocalDate date = DayReportPrinter.parseDate(day);
        Optional<InetSocketAddress> address = IniFile.toAddress(store);
        if (address.isEmpty()) {
            throw new CommandException(
                    ExitCodes.USAGE, "bad-address", List.of("--store: expected IP:PORT, found '" + store + "'"));
        }
        try (EventLoop loop = new EventLoop(Clock.system())) {
            Thread thread = new Thread(loop::run, "store");
            thread.setDaemon(true);
            thread.start();
            report(date, new BlockingStore(loop, new PlatformStore(loop, address.get())));
        } catch (SettingsException e) {
            throw new CommandException(ExitCodes.REFUSED, "invalid-document", e.getFaults());
        } catch (PlatformException e) {
            throw new CommandException(ExitCodes.REFUSED, "store-failed", List.of(e.getMessage()));
        }
        return ExitCodes.OK;
    }

    private void report(LocalDate date, BlockingStore reader) throws PlatformException, SettingsException, IOException {
        List<String> names = new ArrayList<>();
        for (int hour = 0; hour < CountsNames.HOURS_PER_DAY; hour++) {
            String prefix = CountsNames.toIncrementPrefix(CountsNames.toHour(date.toString(), hour));
            names.addAll(reader.<List<String>>call(callback -> reader.store.listObjects(prefix, callback)));
        }
        CountsSum sum = new CountsSum();
        for (String name : names) {
            sum.add(Increment.of(reader.<byte[]>call(callback -> reader.store.readObject(name, callback))));
        }
        DayReportPrinter.print(date, sum.toBody(), ReportSettings.of(Map.of()), readRates(reader), html);
        if (deletesCounts) {
            for (String name : names) {
                reader.<Void>call(callback -> reader.store.deleteObject(name, callback));
            }
        }
    }

    private static Map<String, Double> readRates(BlockingStore reader) throws PlatformException, SettingsException {
        Optional<byte[]> document = reader.<Optional<byte[]>>call(reader.store::readDocument);
        Map<String, Double> rates = new HashMap<>();
        if (document.isPresent()) {
            for (AccountRule account :
                    new OperatorDocumentReader().read(document.get()).getAccounts()) {
                if (account.isLimited()) {
                    rates.put(account.name(), account.ratePerS());
                }
            }
        }
        return rates;
    }

    /** Calls the store from another thread than its loop's. */
    private record BlockingStore(EventLoop loop, PlatformStore store) {

        <T> T call(Consumer<SharedStore.Callback<T>> start) throws PlatformException {
            CompletableFuture<T> result = new CompletableFuture<>();
            loop.execute(() -> start.accept(SharedStore.Callback.of(
                    result::complete,
                    failure -> result.completeExceptionally(new PlatformException(failure.cause())))));
            try {
                return result.get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                throw new PlatformException("the store gives no answer", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new PlatformException("interrupted while reading the store", e);
            }
        }
    }
}
