package io.cranberryarch.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Metrics of this node: request counters by outcome and latency histograms, both by client account and kind of request.
 *
 * <p>The number of combinations of account and kind with their own time series is limited; all others share one series.
 * Thread-safe.
 */
public final class NodeMetrics {

    private static final int MAX_SERIES = 500;
    private static final String OTHER_LABEL = "other";
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

    private final MetricRegistry registry = new MetricRegistry();
    private final Set<String> series = ConcurrentHashMap.newKeySet();

    /**
     * Records the outcome of a caller's request.
     *
     * @param account the client account, empty on open routes
     * @param kind the kind of request
     * @param outcome the outcome
     * @param latencyMicros the time from the request to its final response, in microseconds
     */
    public void record(String account, String kind, String outcome, long latencyMicros) {
        String name = toSeries(account, kind);
        registry.counter("requests{" + name + ",outcome=\"" + outcome + "\"}").inc();
        registry.histogram("request_latency_micros{" + name + "}").update(latencyMicros);
    }

    /**
     * Gets the registry to which other components add their metrics.
     *
     * @return the registry
     */
    public MetricRegistry getRegistry() {
        return registry;
    }

    /**
     * Formats all metrics in the text format of metrics scrapers.
     *
     * @return the text, one line for each value
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            append(text, entry.getKey(), "", entry.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            for (double quantile : QUANTILES) {
                append(text, entry.getKey(), "quantile=\"" + quantile + "\"", snapshot.getValue(quantile));
            }
        }
        return text.toString();
    }

    private String toSeries(String account, String kind) {
        String name = "account=\"" + account + "\",class=\"" + kind + "\"";
        if (series.contains(name)) {
            return name;
        }
        if (series.size() < MAX_SERIES) {
            series.add(name);
            return name;
        }
        return "account=\"" + OTHER_LABEL + "\",class=\"" + OTHER_LABEL + "\"";
    }

    private static void append(StringBuilder text, String name, String label, Number value) {
        String fullName = name;
        if (!label.isEmpty()) {
            fullName = name.endsWith("}")
                    ? name.substring(0, name.length() - 1) + "," + label + "}"
                    : name + "{" + label + "}";
        }
        text.append("cranberryarch_").append(fullName).append(' ').append(value).append('\n');
    }
}
