package io.cranberryarch.node.http;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.LogRateLimiter;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Refusal;
import java.util.function.Consumer;

/**
 * Logs failed requests of callers, in the format that {@code cranberryarch explain} parses.
 *
 * <p>The number of lines per second is limited; an additional line reports how many were omitted. Thread-safe.
 */
final class FailureLog {

    /** The maximum number of lines per second: enough for diagnosis, cheap to write, as on hosted platforms. */
    static final int MAX_LINES_PER_S = 50;

    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final Consumer<String> sink;
    private final LogRateLimiter rateLimiter = new LogRateLimiter(MAX_LINES_PER_S);
    private long omittedLines;

    /**
     * Creates a log.
     *
     * @param clock the clock
     * @param sink receives each line; must not block
     */
    FailureLog(Clock clock, Consumer<String> sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Logs a completed request unless it succeeded.
     *
     * @param requestId the identifier returned to the caller
     * @param account the client account, empty if the request was not authenticated
     * @param route the route, empty if none matched
     * @param result the result of the request
     * @param durationMs the duration of the request in milliseconds
     * @param settingsVersion the version of the settings that were in force
     */
    void onEnd(
            String requestId, String account, String route, CallResult result, long durationMs, long settingsVersion) {
        boolean isFailed = result.refusal().isPresent() || result.status() >= SERVER_ERROR;
        if (!isFailed || !isWithinLimit()) {
            return;
        }
        String outcome = result.refusal()
                .map(Refusal::reason)
                .map(reason -> reason.toText())
                .orElse("answered");
        sink.accept("event=request-ended request=" + requestId + " route=" + toFieldValue(route) + " account="
                + toFieldValue(account) + " outcome=" + outcome + " execution="
                + result.toExecution().toText() + " took-ms=" + durationMs + " settings-version=" + settingsVersion);
    }

    private synchronized boolean isWithinLimit() {
        if (!rateLimiter.tryAcquire(clock.monotonicMs())) {
            omittedLines++;
            return false;
        }
        if (omittedLines > 0) {
            sink.accept("event=log-left-out lines=" + omittedLines);
            omittedLines = 0;
        }
        return true;
    }

    private static String toFieldValue(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
