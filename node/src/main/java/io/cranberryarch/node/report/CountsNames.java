package io.cranberryarch.node.report;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Names of counts in the object store and in the table. */
final class CountsNames {

    static final long MINUTE_MS = 60_000;
    static final long HOUR_MS = 60 * MINUTE_MS;
    static final int HOURS_A_DAY = 24;

    private static final DateTimeFormatter HOUR =
            DateTimeFormatter.ofPattern("yyyy-MM-dd/HH").withZone(ZoneOffset.UTC);

    private CountsNames() {}

    static String ofIncrement(Increment increment) {
        return ofIncrements(toHour(increment.startMs())) + increment.instance() + "/" + increment.incarnation() + "/"
                + increment.sequence();
    }

    static String ofIncrements(String hour) {
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

    static String toHour(String day, int hour) {
        return day + "/" + (hour < 10 ? "0" : "") + hour;
    }
}
