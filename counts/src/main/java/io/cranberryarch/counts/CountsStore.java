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
 * <p>A row of the table names the sum of an hour in force, so that only one of several concurrent compactions takes
 * effect and deletes the increments in its sum. The sum lists its increments: an increment that appears again is not
 * counted twice.
 */
public final class CountsStore {

    /** The time from the end of an hour until its increments are compacted, in milliseconds. */
    static final long COMPACTION_DELAY_MS = 600_000;

    private static final long CLAIM_TIMEOUT_MS = 600_000;
    private static final int MAX_READ_ATTEMPTS = 5;
    private static final int UNIQUE_SUFFIX_BYTES = 8;

    private final ObjectStore objects;
    private final TableStore table;
    private final Clock clock;

    /**
     * Creates a store of counts.
     *
     * @param objects the store of increments and sums
     * @param table the table that names the sums in force
     * @param clock the clock
     */
    public CountsStore(ObjectStore objects, TableStore table, Clock clock) {
        this.objects = objects;
        this.table = table;
        this.clock = clock;
    }

    /**
     * Sums all counts of a day. Blocks the calling thread.
     *
     * @param day the day as YYYY-MM-DD
     * @return the sums
     * @throws PlatformException if a store does not respond
     */
    public CountsBody readDay(String day) throws PlatformException {
        CountsSum sum = new CountsSum();
        for (int hour = 0; hour < CountsNames.HOURS_PER_DAY; hour++) {
            sum.add(readHour(CountsNames.toHour(day, hour)).toBody());
        }
        return sum.toBody();
    }

    /**
     * Compacts the increments of the two hours before the current one, unless another node does so. Blocks the calling
     * thread.
     *
     * @throws PlatformException if a store does not respond; the call may be repeated
     */
    public void compactRecent() throws PlatformException {
        long nowMs = clock.wallMs();
        for (int age = 1; age <= 2; age++) {
            long atMs = nowMs - age * CountsNames.HOUR_MS;
            long endMs = (atMs / CountsNames.HOUR_MS + 1) * CountsNames.HOUR_MS;
            String hour = CountsNames.toHour(atMs);
            boolean isDue = nowMs - endMs >= COMPACTION_DELAY_MS
                    && table.get(CountsNames.ofSumRow(hour)).isEmpty();
            if (isDue && claim(hour)) {
                compact(hour);
            }
        }
    }

    /**
     * Replaces the closed increments of an hour by their sum. Blocks the calling thread.
     *
     * @param hour the hour as YYYY-MM-DD/HH
     * @return whether this call's sum is in force
     * @throws PlatformException if a store does not respond; the call may be repeated
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
        String sumName = CountsNames.ofSum(hour, Digests.randomHex(UNIQUE_SUFFIX_BYTES));
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
     * Returns whether a text is a day.
     *
     * @param day the text
     * @return whether the text is a day as YYYY-MM-DD, not before 1970
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
        if (row.isPresent() && Long.parseLong(row.get().value()) > nowMs - CLAIM_TIMEOUT_MS) {
            return false;
        }
        long version = row.map(Row::version).orElse(Transaction.ABSENT);
        return table.commit(new Transaction().requireVersion(key, version).put(key, String.valueOf(nowMs)));
    }

    private CountsSum readHour(String hour) throws PlatformException {
        for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
            Optional<CountsSum> sum = tryReadHour(hour);
            if (sum.isPresent()) {
                return sum.get();
            }
        }
        throw new PlatformException("the counts of " + hour + " changed while they were read");
    }

    /** Reads an hour, or returns empty if a compaction changed it during the read. */
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
