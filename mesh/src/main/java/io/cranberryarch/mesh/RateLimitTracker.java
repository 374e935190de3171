package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.UpstreamRateLimit;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Tracks the rate limit that the upstream on the node's host names in its responses. After a restart of the node the
 * limit that other nodes know of applies, until the upstream responds.
 */
final class RateLimitTracker {

    private static final Pattern RATE_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{1,30})?");

    /** The maximum number of incarnations whose limits are kept before the upstream is known. */
    private static final int MAX_RESTORED_INCARNATIONS = 16;

    private final EventLoop loop;
    private final UpstreamState upstream;
    private final EventLog log;
    private final UpstreamRateLimit limit = new UpstreamRateLimit();
    private final Map<UpstreamIncarnation, Double> restoredRatesPerS = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private UpstreamIncarnation incarnation;

    RateLimitTracker(EventLoop loop, UpstreamState upstream, EventLog log) {
        this.loop = loop;
        this.upstream = upstream;
        this.log = log;
        this.incarnation = upstream.getIncarnation();
        upstream.addListener(this::followUpstream);
    }

    /** Adds a listener that is run when the upstream begins to name a limit. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    UpstreamRateLimit getLimit() {
        return limit;
    }

    /** Returns the limit as other nodes remember it, or empty if the upstream has not responded to this node yet. */
    Optional<Double> getReportedRatePerS() {
        if (limit.getRatePerS().isEmpty() && limit.isConfirmed()) {
            return Optional.of(PeerStatusMessage.Upstream.NO_RATE_LIMIT);
        }
        return limit.getRatePerS();
    }

    /**
     * Applies a response.
     *
     * @param responding the incarnation that the request was sent to
     * @param sentAtMs when the request was sent, in monotonic milliseconds
     * @param text the limit as the response names it, or empty if it names none
     */
    void onResponse(UpstreamIncarnation responding, long sentAtMs, Optional<String> text) {
        followUpstream();
        if (!responding.matches(incarnation)) {
            return;
        }
        if (text.isPresent() && !RATE_PATTERN.matcher(text.get()).matches()) {
            if (log.tryAcquireRequestLine(loop.nowMs())) {
                log.info("event=rate-limit-unreadable instance=" + responding.instance());
            }
            return;
        }
        Optional<Double> before = limit.getRatePerS();
        limit.onResponse(sentAtMs, text.map(Double::valueOf), loop.nowMs());
        onApplied(before, "response");
    }

    /** Applies the limit that another node knows of an incarnation, which may be the current or a future one. */
    void restore(UpstreamIncarnation known, double ratePerS) {
        restoredRatesPerS.merge(known, ratePerS, Math::min);
        if (restoredRatesPerS.size() > MAX_RESTORED_INCARNATIONS) {
            restoredRatesPerS.remove(restoredRatesPerS.keySet().iterator().next());
        }
        followUpstream();
    }

    /** Removes the limit if another incarnation has started, and applies what other nodes know of it. */
    private void followUpstream() {
        Optional<Double> before = limit.getRatePerS();
        UpstreamIncarnation current = upstream.getIncarnation();
        if (!current.matches(incarnation)) {
            limit.reset();
        }
        incarnation = current;
        restoredRatesPerS.forEach((known, ratePerS) -> {
            if (known.matches(incarnation)) {
                limit.restore(ratePerS, loop.nowMs());
            }
        });
        onApplied(before, "peer");
    }

    private void onApplied(Optional<Double> before, String source) {
        Optional<Double> after = limit.getRatePerS();
        if (after.equals(before)) {
            return;
        }
        if (log.tryAcquireRequestLine(loop.nowMs())) {
            log.info("event=rate-limit-changed source=" + source + " instance=" + incarnation.instance() + " from="
                    + toText(before) + " to=" + toText(after));
        }
        if (before.isEmpty()) {
            listeners.forEach(Runnable::run);
        }
    }

    /** Formats a limit for the log: requests a second, or "-" if there is none. */
    static String toText(Optional<Double> ratePerS) {
        return ratePerS.map(String::valueOf).orElse("-");
    }
}
