package io.cranberryarch.api;

import java.util.List;

/**
 * Outcomes of callers' requests summed over many increments, and what the sums are made of.
 *
 * @param totals one row for each client account, kind, availability zone and outcome
 * @param kindMinutes one row for each kind and minute
 * @param accountMinutes one row for each client account and minute
 * @param sources the processes whose increments are in the sums
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
     * A count.
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
     * @param ok whole answers
     * @param shed refusals because of overload
     * @param due requests that count in the share of whole answers
     */
    public record KindMinute(int minute, String kind, long ok, long shed, long due) {}

    /**
     * The requests of one client account in one minute.
     *
     * @param minute the minute of the day
     * @param account the client account
     * @param charged requests that were charged to the rate
     * @param overRate requests refused because of the rate
     */
    public record AccountMinute(int minute, String account, long charged, long overRate) {}

    /**
     * One process of a node, and which of its increments are in the sums.
     *
     * @param instance the instance
     * @param incarnation the wall clock time of the process's start in milliseconds
     * @param zone the availability zone
     * @param sequences the numbers of its increments, ascending
     * @param untilMinute the minute of the day up to which its counts are whole, 1440 for the whole day
     * @param isFinished whether its last increment was written on a graceful stop
     * @param lost requests that it could not keep until the store took them
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
         * started on this day.
         *
         * @param dayStartMs the start of the day in milliseconds
         * @return the number of increments
         */
        public long countMissingIncrements(long dayStartMs) {
            long first = incarnation >= dayStartMs || sequences.isEmpty() ? 0 : sequences.get(0);
            long last = sequences.isEmpty() ? 0 : sequences.get(sequences.size() - 1);
            return last - first + 1 - sequences.size();
        }
    }
}
