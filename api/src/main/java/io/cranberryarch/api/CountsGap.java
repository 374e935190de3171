package io.cranberryarch.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A reason why the counts of a day are not complete.
 *
 * @param source the process whose counts are not complete
 * @param reason what is missing
 * @param count the number of increments, requests or minutes
 */
public record CountsGap(CountsBody.Source source, Reason reason, long count) {

    /** The minutes without counts after which a process is taken for dead. */
    public static final int MAX_MINUTES_WITHOUT_COUNTS = 7;

    private static final int MINUTES_A_DAY = 24 * 60;

    /** What is missing. */
    public enum Reason {
        /** Increments before the last one never arrived. */
        MISSING_INCREMENTS("increments missing"),
        /** The process dropped counts that it could not keep. */
        DROPPED_REQUESTS("requests dropped from the counts"),
        /** The process ended without a last increment. */
        ENDED_EARLY("minutes without counts, ended without a last increment");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Gets the words for the page.
         *
         * @return the text that follows the count
         */
        public String toText() {
            return text;
        }
    }

    /**
     * Finds all gaps of a day.
     *
     * @param counts the counts
     * @param dayStartMs the start of the day in milliseconds
     * @param nowMinute the minute of the day now, 1440 if the day is over
     * @return the gaps, empty if the counts are complete
     */
    public static List<CountsGap> find(CountsBody counts, long dayStartMs, int nowMinute) {
        Map<String, Long> newest = new HashMap<>();
        for (CountsBody.Source source : counts.sources()) {
            newest.merge(source.instance(), source.incarnation(), Math::max);
        }
        List<CountsGap> gaps = new ArrayList<>();
        for (CountsBody.Source source : counts.sources()) {
            long missing = source.countMissingIncrements(dayStartMs);
            if (missing > 0) {
                gaps.add(new CountsGap(source, Reason.MISSING_INCREMENTS, missing));
            }
            if (source.lost() > 0) {
                gaps.add(new CountsGap(source, Reason.DROPPED_REQUESTS, source.lost()));
            }
            boolean isReplaced = newest.get(source.instance()) > source.incarnation();
            if (isEndedEarly(source, isReplaced, nowMinute)) {
                gaps.add(new CountsGap(source, Reason.ENDED_EARLY, nowMinute - source.untilMinute()));
            }
        }
        return gaps;
    }

    private static boolean isEndedEarly(CountsBody.Source source, boolean isReplaced, int nowMinute) {
        if (source.isFinished() || source.untilMinute() >= MINUTES_A_DAY) {
            return false;
        }
        boolean isDayOver = nowMinute >= MINUTES_A_DAY;
        return isReplaced || isDayOver || nowMinute - source.untilMinute() > MAX_MINUTES_WITHOUT_COUNTS;
    }
}
