package io.cranberryarch.counts;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Digests;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * Reads the counts of a day, and replaces the closed increments of an hour by their sum.
 *
 * <p>A row of the table names the sum of an hour in force, so that racing replacements have one winner, and only
 * the winner deletes what is in its sum. The sum lists its increments: one that appears again is not counted again.
 */
public final class CountsStore {

    /** The age of an hour's end after which its increments are summed, in milliseconds. */
    static final long COMPACT_AFTER_MS = 600_000;

    private static final long CLAIM_MS = 600_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final int UNIQUE_BYTES = 8;

    private final ObjectStore objects;
    private final TableStore table;
    private final Clock clock;

    /**
     * Creates a reader.
     *
     * @param objects holds increments and sums
     * @param table names the sums in force
     * @param clock the clock
     */
    public CountsStore(ObjectStore objects, TableStore table, Clock clock) {
        this.objects = objects;
        this.table = table;
        this.clock = clock;
    }

    /**
     * Sums all counts of a day. Blocks.
     *
     * @param day the day as YYYY-MM-DD
     * @return the sums
     * @throws PlatformException if a store gives no answer
     */
    public CountsBody readDay(String day) throws PlatformException {
        CountsSum sum = new CountsSum();
        for (int hour = 0; hour < CountsNames.HOURS_PER_DAY; hour++) {
            sum.add(readHour(CountsNames.toHour(day, hour)).toBody());
        }
        return sum.toBody();
    }

    /**
     * Replaces the increments of the hours before this one by sums, where no other node does so. Blocks.
     *
     * @throws PlatformException if a store gives no answer; calling again is harmless
     */
    public void compactRecent() throws PlatformException {
        long nowMs = clock.wallMs();
        for (int age = 1; age <= 2; age++) {
            long atMs = nowMs - age * CountsNames.HOUR_MS;
            long endMs = (atMs / CountsNames.HOUR_MS + 1) * CountsNames.HOUR_MS;
            String hour = CountsNames.toHour(atMs);
            boolean isDue = nowMs - endMs >= COMPACT_AFTER_MS
                    && table.get(CountsNames.ofSumRow(hour)).isEmpty();
            if (isDue && claim(hour)) {
                compact(hour);
            }
        }
    }

    /**
     * Replaces the closed increments of an hour by their sum. Blocks.
     *
     * @param hour the hour as YYYY-MM-DD/HH
     * @return whether this call's sum is in force
     * @throws PlatformException if a store gives no answer; calling again is harmless
     */
    public boolean compact(String hour) throws PlatformException {
        Optional<Row> before = table.get(CountsNames.ofSumRow(hour));
        CountsSum sum = new CountsSum();
        if (before.isPresent()) {
            Optional<byte[]> content = objects.getObject(before.get().value());
            if (content.isEmpty()) {
                return false;
            }
            sum.add(Increment.read(content.get(), CountsBody.class));
        }
        List<String> replaced = new ArrayList<>();
        for (String name : objects.listObjects(CountsNames.toIncrementPrefix(hour))) {
            Optional<byte[]> content = objects.getObject(name);
            if (content.isPresent() && addClosed(Increment.of(content.get()), sum)) {
                replaced.add(name);
            }
        }
        if (replaced.isEmpty()) {
            return false;
        }
        String sumName = CountsNames.ofSum(hour, Digests.ofRandomHex(UNIQUE_BYTES));
        objects.put(sumName, Increment.toBytes(sum.toBody()));
        Transaction transaction = new Transaction()
                .requireVersion(
                        CountsNames.ofSumRow(hour), before.map(Row::version).orElse(Transaction.ABSENT))
                .put(CountsNames.ofSumRow(hour), sumName);
        if (!table.commit(transaction)) {
            objects.delete(sumName);
            return false;
        }
        Logger.info("counts-compacted hour={} increments={}", hour, replaced.size());
        if (before.isPresent()) {
            replaced.add(before.get().value());
        }
        for (String name : replaced) {
            objects.delete(name);
        }
        return true;
    }

    /**
     * Checks a day.
     *
     * @param day the text
     * @return whether it is a day as YYYY-MM-DD
     */
    public static boolean isDay(String day) {
        try {
            return LocalDate.parse(day).atStartOfDay().toInstant(ZoneOffset.UTC).toEpochMilli() >= 0;
        } catch (DateTimeParseException e) {
            return false;
        }
    }

    private static boolean addClosed(Increment increment, CountsSum sum) {
        boolean isKnown = sum.contains(increment.instance(), increment.incarnation(), increment.sequence());
        if (!isKnown && !increment.isClosed()) {
            return false;
        }
        sum.add(increment);
        return true;
    }

    private boolean claim(String hour) throws PlatformException {
        String key = CountsNames.ofClaimRow(hour);
        Optional<Row> row = table.get(key);
        long nowMs = clock.wallMs();
        if (row.isPresent() && Long.parseLong(row.get().value()) > nowMs - CLAIM_MS) {
            return false;
        }
        long version = row.map(Row::version).orElse(Transaction.ABSENT);
        return table.commit(new Transaction().requireVersion(key, version).put(key, String.valueOf(nowMs)));
    }

    private CountsSum readHour(String hour) throws PlatformException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Optional<CountsSum> sum = tryReadHour(hour);
            if (sum.isPresent()) {
                return sum.get();
            }
        }
        throw new PlatformException("the counts of " + hour + " change while they are read");
    }

    /** Reads an hour, unless a replacement came between. */
    private Optional<CountsSum> tryReadHour(String hour) throws PlatformException {
        Optional<Row> row = table.get(CountsNames.ofSumRow(hour));
        CountsSum sum = new CountsSum();
        if (row.isPresent()) {
            Optional<byte[]> content = objects.getObject(row.get().value());
            if (content.isEmpty()) {
                return Optional.empty();
            }
            sum.add(Increment.read(content.get(), CountsBody.class));
        }
        for (String name : objects.listObjects(CountsNames.toIncrementPrefix(hour))) {
            Optional<byte[]> content = objects.getObject(name);
            if (content.isEmpty()) {
                return Optional.empty();
            }
            sum.add(Increment.of(content.get()));
        }
        boolean isSame = row.map(Row::version)
                .equals(table.get(CountsNames.ofSumRow(hour)).map(Row::version));
        return isSame ? Optional.of(sum) : Optional.empty();
    }
}
