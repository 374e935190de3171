package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.UpstreamRateLimit;
import io.cranberryarch.net.EventLoop;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Tracks the rate limit that the upstream on the node's host names in its responses.
 */
final class RateLimitTracker {

    private static final Pattern RATE_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{1,30})?");

    private final EventLoop loop;
    private final UpstreamState upstream;
    private final EventLog log;
    private final UpstreamRateLimit limit = new UpstreamRateLimit();
    private UpstreamIncarnation incarnation;

    RateLimitTracker(EventLoop loop, UpstreamState upstream, EventLog log) {
        this.loop = loop;
        this.upstream = upstream;
        this.log = log;
        this.incarnation = upstream.getIncarnation();
        upstream.addListener(this::followUpstream);
    }

    UpstreamRateLimit getLimit() {
        return limit;
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

    /** Removes the limit if another incarnation has started. */
    private void followUpstream() {
        Optional<Double> before = limit.getRatePerS();
        UpstreamIncarnation current = upstream.getIncarnation();
        if (!current.matches(incarnation)) {
            limit.reset();
        }
        incarnation = current;
        onApplied(before, "new-incarnation");
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
    }

    /** Formats a limit for the log: requests a second, or "-" if there is none. */
    static String toText(Optional<Double> ratePerS) {
        return ratePerS.map(String::valueOf).orElse("-");
    }
}
