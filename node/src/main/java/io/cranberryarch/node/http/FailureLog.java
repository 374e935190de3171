package io.cranberryarch.node.http;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.LogRateLimiter;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Refusal;
import java.util.function.Consumer;

/**
 * Logs each request of a caller that did not succeed, in the form that {@code cranberryarch explain} reads.
 *
 * <p>A bounded number of lines a second is written; a line says how many did not fit. Thread-safe.
 */
final class FailureLog {

    /** The most lines a second, enough to read and cheap to write; the same as on hosted platforms. */
    static final int LINES_PER_S = 50;

    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final Consumer<String> sink;
    private final LogRateLimiter limit = new LogRateLimiter(LINES_PER_S);
    private long leftOut;

    /**
     * Creates a log.
     *
     * @param clock the clock
     * @param sink takes each line, must not block
     */
    FailureLog(Clock clock, Consumer<String> sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Logs the end of a request unless it succeeded.
     *
     * @param requestId the identifier that the caller was told
     * @param account the client account, empty if none is known
     * @param route the route, empty if none matched
     * @param result the answer
     * @param tookMs the time in milliseconds
     * @param settingsVersion the version of the settings that were in force
     */
    void onEnd(String requestId, String account, String route, CallResult result, long tookMs, long settingsVersion) {
        boolean isFailed = result.refusal().isPresent() || result.status() >= SERVER_ERROR;
        if (!isFailed || !isWithinLimit()) {
            return;
        }
        String outcome = result.refusal()
                .map(Refusal::reason)
                .map(reason -> reason.toText())
                .orElse("answered");
        sink.accept("event=request-ended request=" + requestId + " route=" + toWord(route) + " account="
                + toWord(account) + " outcome=" + outcome + " execution="
                + result.toExecution().toText() + " took-ms=" + tookMs + " settings-version=" + settingsVersion);
    }

    private synchronized boolean isWithinLimit() {
        if (!limit.tryAcquire(clock.monotonicMs())) {
            leftOut++;
            return false;
        }
        if (leftOut > 0) {
            sink.accept("event=log-left-out lines=" + leftOut);
            leftOut = 0;
        }
        return true;
    }

    private static String toWord(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
