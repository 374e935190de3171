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
 * @param isOver whether a good minute followed
 */
public record Overload(String kind, int fromMinute, int untilMinute, boolean isOver) {

    /**
     * Finds the times of overload of a day.
     *
     * @param minutes the counts of all kinds by minute
     * @param goodShare the share of whole answers from which on a minute is good
     * @return the times, by kind and time
     */
    public static List<Overload> find(List<CountsBody.KindMinute> minutes, double goodShare) {
        List<CountsBody.KindMinute> sorted = new ArrayList<>(minutes);
        sorted.sort(Comparator.comparing(CountsBody.KindMinute::kind).thenComparing(CountsBody.KindMinute::minute));
        List<Overload> found = new ArrayList<>();
        Overload open = null;
        for (CountsBody.KindMinute minute : sorted) {
            if (open != null && !open.kind.equals(minute.kind())) {
                found.add(open);
                open = null;
            }
            if (open == null && minute.shed() > 0) {
                open = new Overload(minute.kind(), minute.minute(), minute.minute() + 1, false);
            } else if (open != null && isGood(minute, goodShare)) {
                found.add(new Overload(open.kind, open.fromMinute, minute.minute(), true));
                open = null;
            } else if (open != null) {
                open = new Overload(open.kind, open.fromMinute, minute.minute() + 1, false);
            }
        }
        if (open != null) {
            found.add(open);
        }
        return found;
    }

    /**
     * Computes the recovery time.
     *
     * @return minutes from the first under overload to the first good one
     */
    public int toMinutes() {
        return untilMinute - fromMinute;
    }

    private static boolean isGood(CountsBody.KindMinute minute, double goodShare) {
        return minute.shed() == 0 && minute.due() > 0 && Tally.toShare(minute.ok(), minute.due()) >= goodShare;
    }
}
