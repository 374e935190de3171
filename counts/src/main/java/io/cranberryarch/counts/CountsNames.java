package io.cranberryarch.counts;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Names of counts in the object store and in the table. */
public final class CountsNames {

    /** A minute in milliseconds. */
    public static final long MINUTE_MS = 60_000;
    /** An hour in milliseconds. */
    public static final long HOUR_MS = 60 * MINUTE_MS;
    /** The number of hours in a day. */
    public static final int HOURS_PER_DAY = 24;

    private static final DateTimeFormatter HOUR =
            DateTimeFormatter.ofPattern("yyyy-MM-dd/HH").withZone(ZoneOffset.UTC);

    private CountsNames() {}

    static String ofIncrement(Increment increment) {
        return toIncrementPrefix(toHour(increment.startMs())) + increment.instance() + "/" + increment.incarnation()
                + "/" + increment.sequence();
    }

    /**
     * Returns the prefix of the names of the increments of an hour.
     *
     * @param hour the hour as YYYY-MM-DD/HH
     * @return the prefix
     */
    public static String toIncrementPrefix(String hour) {
        return "counts/" + hour + "/";
    }

    static String ofSum(String hour, String unique) {
        return "counts-hours/" + hour + "/" + unique;
    }

    static String ofSumRow(String hour) {
        return "counts-hours/" + hour;
    }

    static String ofClaimRow(String hour) {
        return "counts-claims/" + hour;
    }

    static String toHour(long atMs) {
        return HOUR.format(Instant.ofEpochMilli(atMs));
    }

    /**
     * Formats an hour of a day.
     *
     * @param day the day as YYYY-MM-DD
     * @param hour the hour of the day, from 0 to 23
     * @return the hour as YYYY-MM-DD/HH
     */
    public static String toHour(String day, int hour) {
        return day + "/" + (hour < 10 ? "0" : "") + hour;
    }
}
