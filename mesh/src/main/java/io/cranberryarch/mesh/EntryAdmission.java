package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.RetryAfterTracker;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRoute;
import io.cranberryarch.settings.serving.ServingRules;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Refuses new call trees while a service that they need is overloaded, and tells their callers when to come back. */
final class EntryAdmission {

    /** The shortest and the longest time after which a request that was refused for overload comes back. */
    private static final long MIN_RETRY_AFTER_MS = 300;

    private static final long MAX_RETRY_AFTER_MS = 1_500;

    private final ServiceLoadTracker loads;
    private final RetryAfterTracker returns = new RetryAfterTracker();

    EntryAdmission(ServiceLoadTracker loads) {
        this.loads = loads;
    }

    /**
     * Decides about a request at the root of a call tree.
     *
     * @param rules the rules in force
     * @param route the route of the request
     * @param service the service that gets it
     * @param rank its importance, 0 for the most important
     * @param account its client account, if it has one
     * @param request the request
     * @param nowMs the time in milliseconds
     * @return the refusal, or empty if the request is let in
     */
    Optional<Rejection> check(
            ServingRules rules,
            ServingRoute route,
            String service,
            int rank,
            Optional<AccountRule> account,
            HttpRequestMessage request,
            long nowMs) {
        long caller = toCallerMark(account, request);
        boolean isReturning = returns.consumeHonored(caller, nowMs);
        Optional<ServiceLoadTracker.Overload> overload =
                loads.findOverload(route.name(), service, rank, isReturning, rules);
        if (overload.isEmpty()) {
            return Optional.empty();
        }
        long retryAfterMs = toRetryAfterMs();
        returns.onRefused(caller, nowMs, nowMs + retryAfterMs);
        return Optional.of(new Rejection(overload.get(), rank, isReturning, retryAfterMs));
    }

    /**
     * Draws a time to come back, so that refused callers do not return all at once.
     *
     * @return milliseconds
     */
    static long toRetryAfterMs() {
        return ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    }

    /** A mark by which a refused request is known when its caller sends it again under another identifier. */
    private static long toCallerMark(Optional<AccountRule> account, HttpRequestMessage request) {
        String name = account.map(AccountRule::name).orElse("");
        return name.hashCode() * 31L + request.target().hashCode() + ((long) Arrays.hashCode(request.body()) << 32);
    }

    /**
     * A refusal.
     *
     * @param overload the service without room
     * @param rank the importance of the request
     * @param isReturning whether its caller comes back after a refusal
     * @param retryAfterMs when the caller should come back, in milliseconds
     */
    record Rejection(ServiceLoadTracker.Overload overload, int rank, boolean isReturning, long retryAfterMs) {

        String getReason() {
            return "overload-of-" + overload.service();
        }

        /** Writes what decided, as fields of a log line. */
        String toLogFields() {
            return String.format(
                    Locale.ROOT,
                    " rank=%d returning=%b load=%.2f served-share=%.2f retry-after-ms=%d",
                    rank,
                    isReturning,
                    overload.load(),
                    overload.served(),
                    retryAfterMs);
        }
    }
}
