package io.cranberryarch.node.report;

import io.cranberryarch.counts.Series;
import java.util.HashMap;
import java.util.Map;

/** One shard of the counts of this process, with its own lock and a bounded number of series. Thread-safe. */
final class CountsShard {

    private static final int MAX_SERIES = 2_000;
    private static final String OVERFLOW_NAME = "other";

    private Map<Series, Long> counts = new HashMap<>();

    synchronized void add(Series series) {
        Series key = series;
        if (counts.size() >= MAX_SERIES && !counts.containsKey(series)) {
            key = new Series(series.minute(), OVERFLOW_NAME, OVERFLOW_NAME, series.outcome());
        }
        counts.merge(key, 1L, Long::sum);
    }

    synchronized Map<Series, Long> drain() {
        Map<Series, Long> drained = counts;
        counts = new HashMap<>();
        return drained;
    }
}
