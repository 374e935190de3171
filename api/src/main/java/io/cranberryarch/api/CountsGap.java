package io.cranberryarch.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A reason why the counts of a day are incomplete.
 *
 * @param source the process whose counts are incomplete
 * @param reason the kind of missing counts
 * @param count the number of increments, requests or minutes
 */
public record CountsGap(CountsBody.Source source, Reason reason, long count) {

    /** The maximum number of minutes without counts before a process is considered dead. */
    public static final int MAX_MINUTES_WITHOUT_COUNTS = 7;

    private static final int MINUTES_PER_DAY = 24 * 60;

    /** The kind of missing counts. */
    public enum Reason {
        /** Increments before the last one were not received. */
        MISSING_INCREMENTS("increments missing"),
        /** The process dropped counts that it could not buffer. */
        DROPPED_REQUESTS("requests dropped from the counts"),
        /** The process ended without a last increment. */
        ENDED_EARLY("minutes without counts, ended without a last increment");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Returns the text for the report.
         *
         * @return the text that follows the count
         */
        public String toText() {
            return text;
        }
    }

    /**
     * Finds all gaps in the counts of a day.
     *
     * @param counts the counts, not {@code null}
     * @param dayStartMs the wall-clock time of the start of the day in milliseconds
     * @param nowMinute the current minute of the day, 1440 if the day is over
     * @return the gaps, empty if the counts are complete
     */
    public static List<CountsGap> find(CountsBody counts, long dayStartMs, int nowMinute) {
        Map<String, Long> newestIncarnations = new HashMap<>();
        for (CountsBody.Source source : counts.sources()) {
            newestIncarnations.merge(source.instance(), source.incarnation(), Math::max);
        }
        List<CountsGap> gaps = new ArrayList<>();
        for (CountsBody.Source source : counts.sources()) {
            long missingIncrements = source.countMissingIncrements(dayStartMs);
            if (missingIncrements > 0) {
                gaps.add(new CountsGap(source, Reason.MISSING_INCREMENTS, missingIncrements));
            }
            if (source.lost() > 0) {
                gaps.add(new CountsGap(source, Reason.DROPPED_REQUESTS, source.lost()));
            }
            boolean isReplaced = newestIncarnations.get(source.instance()) > source.incarnation();
            if (isEndedEarly(source, isReplaced, nowMinute)) {
                gaps.add(new CountsGap(source, Reason.ENDED_EARLY, nowMinute - source.untilMinute()));
            }
        }
        return gaps;
    }

    private static boolean isEndedEarly(CountsBody.Source source, boolean isReplaced, int nowMinute) {
        if (source.isFinished() || source.untilMinute() >= MINUTES_PER_DAY) {
            return false;
        }
        boolean isDayOver = nowMinute >= MINUTES_PER_DAY;
        return isReplaced || isDayOver || nowMinute - source.untilMinute() > MAX_MINUTES_WITHOUT_COUNTS;
    }
}
