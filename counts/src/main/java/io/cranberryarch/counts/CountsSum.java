package io.cranberryarch.counts;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Sums increments, each at most once, and sums of them.
 *
 * <pre>
 * CountsSum sum = new CountsSum();
 * sum.add(increment);
 * sum.add(increment); // has no effect
 * </pre>
 */
public final class CountsSum {

    private static final int MINUTES_PER_DAY = 24 * 60;

    private final Map<RowKey, Long> totals = new HashMap<>();
    private final Map<MinuteKey, long[]> kindMinutes = new HashMap<>();
    private final Map<MinuteKey, long[]> accountMinutes = new HashMap<>();
    private final Map<SourceKey, SourceState> sources = new HashMap<>();

    boolean contains(String instance, long incarnation, long sequence) {
        SourceState state = sources.get(new SourceKey(instance, incarnation));
        return state != null && state.sequences.contains(sequence);
    }

    /**
     * Adds an increment, unless the sum contains it.
     *
     * @param increment the increment, not {@code null}
     */
    public void add(Increment increment) {
        SourceKey key = new SourceKey(increment.instance(), increment.incarnation());
        SourceState state = sources.computeIfAbsent(key, unused -> new SourceState(increment.zone()));
        if (!state.sequences.add(increment.sequence())) {
            return;
        }
        state.update(toUntilMinute(increment), increment.isLast(), increment.lost());
        for (Increment.Row row : increment.rows()) {
            add(row, increment.zone());
        }
    }

    /**
     * Adds a sum of other increments. The two sums must not have an increment in common.
     *
     * @param other the sum
     */
    public void add(CountsBody other) {
        for (CountsBody.Row row : other.totals()) {
            totals.merge(new RowKey(row.account(), row.kind(), row.zone(), row.outcome()), row.count(), Long::sum);
        }
        for (CountsBody.KindMinute row : other.kindMinutes()) {
            addTo(kindMinutes, row.minute(), row.kind(), row.ok(), row.shed(), row.due());
        }
        for (CountsBody.AccountMinute row : other.accountMinutes()) {
            addTo(accountMinutes, row.minute(), row.account(), row.charged(), row.overRate());
        }
        for (CountsBody.Source source : other.sources()) {
            SourceKey key = new SourceKey(source.instance(), source.incarnation());
            SourceState state = sources.computeIfAbsent(key, unused -> new SourceState(source.zone()));
            state.sequences.addAll(source.sequences());
            state.update(source.untilMinute(), source.isFinished(), source.lost());
        }
    }

    /**
     * Returns the sums.
     *
     * @return a copy of the current sums
     */
    public CountsBody toBody() {
        List<CountsBody.Row> rows = new ArrayList<>();
        totals.forEach(
                (key, count) -> rows.add(new CountsBody.Row(key.account, key.kind, key.zone, key.outcome, count)));
        List<CountsBody.KindMinute> kinds = new ArrayList<>();
        kindMinutes.forEach(
                (key, sum) -> kinds.add(new CountsBody.KindMinute(key.minute, key.name, sum[0], sum[1], sum[2])));
        List<CountsBody.AccountMinute> accounts = new ArrayList<>();
        accountMinutes.forEach(
                (key, sum) -> accounts.add(new CountsBody.AccountMinute(key.minute, key.name, sum[0], sum[1])));
        List<CountsBody.Source> processes = new ArrayList<>();
        sources.forEach((key, state) -> processes.add(new CountsBody.Source(
                key.instance,
                key.incarnation,
                state.zone,
                List.copyOf(state.sequences),
                state.untilMinute,
                state.isFinished,
                state.lost)));
        return new CountsBody(rows, kinds, accounts, processes);
    }

    private void add(Increment.Row row, String zone) {
        Outcome outcome = row.outcome();
        int minute = toMinuteOfDay(row.minute());
        long count = row.count();
        totals.merge(new RowKey(row.account(), row.kind(), zone, outcome), count, Long::sum);
        long ok = outcome == Outcome.OK ? count : 0;
        long shed = outcome == Outcome.SHED ? count : 0;
        addTo(kindMinutes, minute, row.kind(), ok, shed, outcome.isSuccessExpected() ? count : 0);
        if (!row.account().isEmpty()) {
            long overRate = outcome == Outcome.OVER_RATE ? count : 0;
            addTo(accountMinutes, minute, row.account(), outcome.isSuccessExpected() ? count : 0, overRate);
        }
    }

    private static void addTo(Map<MinuteKey, long[]> map, int minute, String name, long... values) {
        long[] sum = map.computeIfAbsent(new MinuteKey(minute, name), key -> new long[values.length]);
        for (int i = 0; i < values.length; i++) {
            sum[i] += values[i];
        }
    }

    private static int toUntilMinute(Increment increment) {
        long dayStart = increment.startMs() / CountsNames.MINUTE_MS / MINUTES_PER_DAY * MINUTES_PER_DAY;
        return (int) (increment.untilMs() / CountsNames.MINUTE_MS - dayStart);
    }

    private static int toMinuteOfDay(long minute) {
        return (int) (minute % MINUTES_PER_DAY);
    }

    private record RowKey(String account, String kind, String zone, Outcome outcome) {}

    private record MinuteKey(int minute, String name) {}

    private record SourceKey(String instance, long incarnation) {}

    /** The state of one counting process. */
    private static final class SourceState {

        private final String zone;
        private final SortedSet<Long> sequences = new TreeSet<>();
        private int untilMinute;
        private boolean isFinished;
        private long lost;

        SourceState(String zone) {
            this.zone = zone;
        }

        void update(int minute, boolean isLast, long dropped) {
            untilMinute = Math.max(untilMinute, minute);
            isFinished |= isLast;
            lost += dropped;
        }
    }
}
