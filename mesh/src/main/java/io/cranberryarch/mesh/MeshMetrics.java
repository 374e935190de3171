package io.cranberryarch.mesh;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Holds the counters, gauges and latency histograms of a node. Used on the event loop's thread only. */
final class MeshMetrics {

    /** Maximum number of series of one kind; further series share the name "other". */
    private static final int MAX_SERIES = 200;

    private static final long MAX_LATENCY_MS = 60_000;
    private static final int LATENCY_SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Map<String, Counter> counters = new TreeMap<>();

    /** Records the end of a request at its entry. */
    void record(String route, String outcome, int status, long durationMs) {
        count("requests{route=\"" + route + "\",outcome=\"" + outcome + "\",status=\"" + status + "\"}");
        if (!latencies.containsKey(route) && latencies.size() >= MAX_SERIES) {
            route = "other";
        }
        latencies
                .computeIfAbsent(route, unused -> new Histogram(MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS))
                .recordValue(Math.min(MAX_LATENCY_MS, durationMs));
    }

    /** Increments a counter. */
    void count(String name) {
        Counter counter = counters.get(name);
        if (counter == null) {
            String seriesName = counters.size() < MAX_SERIES ? name : "other";
            counter = registry.counter(seriesName);
            counters.put(seriesName, counter);
        }
        counter.inc();
    }

    /** Registers a gauge that is read when the metrics are fetched, unless the name is registered already. */
    void gauge(String name, Gauge<Number> value) {
        boolean isRegistered = registry.getGauges().containsKey(name);
        if (!isRegistered && registry.getGauges().size() < MAX_SERIES) {
            registry.registerGauge(name, value);
        }
    }

    /** Returns all metrics, one per line. */
    String toText() {
        StringBuilder text = new StringBuilder();
        registry.getGauges()
                .forEach((name, gauge) ->
                        text.append(name).append(' ').append(gauge.getValue()).append('\n'));
        registry.getCounters()
                .forEach((name, counter) ->
                        text.append(name).append(' ').append(counter.getCount()).append('\n'));
        latencies.forEach((route, histogram) -> {
            for (double percentile : PERCENTILES) {
                text.append("latency_ms{route=\"").append(route).append("\",percentile=\"");
                text.append(percentile).append("\"} ");
                text.append(histogram.getValueAtPercentile(percentile)).append('\n');
            }
        });
        return text.toString();
    }
}
