package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A time of overload of one kind of request.
 *
 * <p>It begins with the first minute in which requests were shed, and ends with the first minute in which none was shed
 * and the share of whole answers is good again.
 *
 * @param kind the kind of request
 * @param fromMinute the first minute of the day under overload
 * @param untilMinute the first good minute
 * @param hasEnded whether a good minute followed
 */
public record OverloadPeriod(String kind, int fromMinute, int untilMinute, boolean hasEnded) {

    /**
     * Finds the times of overload of a day.
     *
     * @param minutes the counts of all kinds by minute
     * @param minGoodputRatio the share of whole answers from which on a minute is good
     * @return the times, by kind and time
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
     * Computes the recovery time.
     *
     * @return minutes from the first under overload to the first good one
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
