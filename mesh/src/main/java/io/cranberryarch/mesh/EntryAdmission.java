package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.LoadShedding;
import io.cranberryarch.decision.serving.OverloadDetector;
import io.cranberryarch.decision.serving.RetryAfterTracker;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRoute;
import io.cranberryarch.settings.serving.ServingRules;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Refuses new call trees while a service that they need is overloaded, each with a randomized Retry-After time. */
final class EntryAdmission {

    private final OverloadDetector detector;
    private final RetryAfterTracker retryAfterTracker = new RetryAfterTracker();

    EntryAdmission(OverloadDetector detector) {
        this.detector = detector;
    }

    /**
     * Decides whether to admit a request at the root of a call tree.
     *
     * @param rules the rules in force
     * @param route the route of the request
     * @param service the service that the request is sent to
     * @param rank the rank of the request, 0 for the most important
     * @param account the client account, or empty if the request has none
     * @param request the request
     * @param nowMs the time in milliseconds
     * @return the rejection, or empty if the request is admitted
     */
    Optional<Rejection> check(
            ServingRules rules,
            ServingRoute route,
            String service,
            int rank,
            Optional<AccountRule> account,
            HttpRequestMessage request,
            long nowMs) {
        long fingerprint = toRequestFingerprint(account, request);
        boolean isReturning = retryAfterTracker.consumeHonoredRefusal(fingerprint, nowMs);
        OverloadDetector.Tree tree = new OverloadDetector.Tree(route.name(), service, rank, isReturning);
        Optional<OverloadDetector.Overload> overload =
                detector.findOverload(tree, rules.getRanks(), Math.random(), nowMs);
        if (overload.isEmpty()) {
            return Optional.empty();
        }
        long retryAfterMs = randomRetryAfterMs();
        retryAfterTracker.onRefused(fingerprint, nowMs, nowMs + retryAfterMs);
        return Optional.of(new Rejection(overload.get(), rank, isReturning, retryAfterMs));
    }

    /** Returns a random Retry-After time in milliseconds. */
    static long randomRetryAfterMs() {
        return LoadShedding.toRetryAfterMs(Math.random());
    }

    /** Returns a hash that identifies a refused request when its caller sends it again under another identifier. */
    private static long toRequestFingerprint(Optional<AccountRule> account, HttpRequestMessage request) {
        String name = account.map(AccountRule::name).orElse("");
        return name.hashCode() * 31L + request.target().hashCode() + ((long) Arrays.hashCode(request.body()) << 32);
    }

    /**
     * The refusal of a request because of overload.
     *
     * @param overload the overloaded service
     * @param rank the rank of the request, 0 for the most important
     * @param isReturning whether the request is a retry that honored the Retry-After time of an earlier refusal
     * @param retryAfterMs the time after which the caller should retry, in milliseconds
     */
    record Rejection(OverloadDetector.Overload overload, int rank, boolean isReturning, long retryAfterMs) {

        String getReason() {
            return "overload-of-" + overload.service();
        }

        /** Formats the inputs of the decision as fields of a log line. */
        String toLogFields() {
            return String.format(
                    Locale.ROOT,
                    " rank=%d returning=%b load=%.2f served-share=%.2f retry-after-ms=%d",
                    rank,
                    isReturning,
                    overload.load(),
                    overload.servedRatio(),
                    retryAfterMs);
        }
    }
}
