package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A period of overload of one kind of request.
 *
 * <p>It begins with the first minute in which requests were shed, and ends with the first minute in which none was shed
 * and the goodput reached the target again, which is called a good minute.
 *
 * @param kind the kind of request
 * @param fromMinute the first minute under overload, counted from the start of the day
 * @param untilMinute the first good minute, or the minute after the last one counted if none followed
 * @param hasEnded whether a good minute followed
 */
public record OverloadPeriod(String kind, int fromMinute, int untilMinute, boolean hasEnded) {

    /**
     * Returns the periods of overload of a day.
     *
     * @param minutes the counts of all kinds by minute
     * @param minGoodputRatio the ratio of successful requests to those expected to succeed from which a minute is good
     * @return the periods, sorted by kind and time
     */
    public static List<OverloadPeriod> find(List<CountsBody.KindMinute> minutes, double minGoodputRatio) {
        List<CountsBody.KindMinute> sorted = new ArrayList<>(minutes);
        sorted.sort(Comparator.comparing(CountsBody.KindMinute::kind).thenComparing(CountsBody.KindMinute::minute));
        List<OverloadPeriod> found = new ArrayList<>();
        OverloadPeriod current = null;
        for (CountsBody.KindMinute minute : sorted) {
            if (current != null && !current.kind.equals(minute.kind())) {
                found.add(current);
                current = null;
            }
            if (current == null && minute.shed() > 0) {
                current = new OverloadPeriod(minute.kind(), minute.minute(), minute.minute() + 1, false);
            } else if (current != null && isGood(minute, minGoodputRatio)) {
                found.add(new OverloadPeriod(current.kind, current.fromMinute, minute.minute(), true));
                current = null;
            } else if (current != null) {
                current = new OverloadPeriod(current.kind, current.fromMinute, minute.minute() + 1, false);
            }
        }
        if (current != null) {
            found.add(current);
        }
        return found;
    }

    /**
     * Returns the recovery time.
     *
     * @return the minutes from the first one under overload to the first good one
     */
    public int toDurationMinutes() {
        return untilMinute - fromMinute;
    }

    private static boolean isGood(CountsBody.KindMinute minute, double minGoodputRatio) {
        return minute.shed() == 0
                && minute.due() > 0
                && OutcomeCounts.toRatio(minute.ok(), minute.due()) >= minGoodputRatio;
    }
}
