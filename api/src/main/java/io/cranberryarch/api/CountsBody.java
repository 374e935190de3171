package io.cranberryarch.api;

import java.util.List;

/**
 * Sums of the counted outcomes of callers' requests over many increments, with the sources of the sums.
 *
 * @param totals the counts, one row for each client account, kind, availability zone and outcome
 * @param kindMinutes the counts over time, one row for each kind and minute
 * @param accountMinutes the counts over time, one row for each client account and minute
 * @param sources the processes whose increments are included in the sums
 */
public record CountsBody(
        List<Row> totals, List<KindMinute> kindMinutes, List<AccountMinute> accountMinutes, List<Source> sources) {

    /** Copies the lists. */
    public CountsBody {
        totals = List.copyOf(totals);
        kindMinutes = List.copyOf(kindMinutes);
        accountMinutes = List.copyOf(accountMinutes);
        sources = List.copyOf(sources);
    }

    /**
     * The number of requests with the same client account, kind, availability zone and outcome.
     *
     * @param account the client account, empty on routes open to all
     * @param kind the kind of request
     * @param zone the availability zone of the entry
     * @param outcome the outcome
     * @param count the number of requests
     */
    public record Row(String account, String kind, String zone, Outcome outcome, long count) {}

    /**
     * The requests of one kind in one minute.
     *
     * @param minute the minute of the day
     * @param kind the kind of request
     * @param ok the number of requests with a complete answer
     * @param shed the number of requests refused because of overload
     * @param due the number of requests that count in the success ratio
     */
    public record KindMinute(int minute, String kind, long ok, long shed, long due) {}

    /**
     * The requests of one client account in one minute.
     *
     * @param minute the minute of the day
     * @param account the client account
     * @param charged the number of requests charged to the rate
     * @param overRate the number of requests refused because of the rate
     */
    public record AccountMinute(int minute, String account, long charged, long overRate) {}

    /**
     * A process of a node, with those of its increments that are included in the sums.
     *
     * @param instance the name of the instance
     * @param incarnation the wall-clock time of the start of the process in milliseconds
     * @param zone the availability zone
     * @param sequences the sequence numbers of its increments, ascending
     * @param untilMinute the minute of the day up to which its counts are complete, 1440 for the whole day
     * @param isFinished whether its last increment was written during a graceful stop
     * @param lost the number of requests whose counts were dropped before they could be stored
     */
    public record Source(
            String instance,
            long incarnation,
            String zone,
            List<Long> sequences,
            int untilMinute,
            boolean isFinished,
            long lost) {

        /** Copies the sequences. */
        public Source {
            sequences = List.copyOf(sequences);
        }

        /**
         * Counts the increments that are missing between the first and the last, and before the first if the process
         * was started on this day.
         *
         * @param dayStartMs the wall-clock time of the start of the day in milliseconds
         * @return the number of missing increments
         */
        public long countMissingIncrements(long dayStartMs) {
            long first = incarnation >= dayStartMs || sequences.isEmpty() ? 0 : sequences.get(0);
            long last = sequences.isEmpty() ? 0 : sequences.get(sequences.size() - 1);
            return last - first + 1 - sequences.size();
        }
    }
}
