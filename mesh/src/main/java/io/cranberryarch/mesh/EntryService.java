package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.decision.serving.RepeatBudget;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpHeaders;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRoute;
import io.cranberryarch.settings.serving.ServingRules;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/**
 * Handles requests of callers, and nested calls that the upstream makes while it runs other requests. Resolves the
 * route, authenticates the key, charges the account's rate, refuses requests that cannot be served, and forwards the
 * others.
 */
final class EntryService {

    private static final String BEARER_PREFIX = "bearer ";
    private static final Pattern TIMEOUT_PATTERN = Pattern.compile("\\d{1,9}");
    private static final long DEFAULT_TIMEOUT_MS = 5_000;

    /** The margin by which a request times out before its caller does, so that the response arrives in time. */
    private static final long TIMEOUT_MARGIN_MS = 5;

    /** The Retry-After time while no rules are loaded or no instance is reachable. */
    private static final long UNAVAILABLE_RETRY_AFTER_MS = 500;

    /** The outcome of a request that a stopping node cannot complete. */
    private static final String NODE_STOPPING = "node-stopping";

    /** The outcomes of a nested call that did not reach an instance, and may from another node. */
    private static final Set<String> PATH_FAILURES = Set.of(
            "no-instance",
            "no-upstream",
            "wrong-service",
            "leaving",
            "upstream-unreachable",
            "rules-unknown",
            "no-parent",
            NODE_STOPPING);

    private final EventLoop loop;
    private final MeshSettings settings;
    private final HeaderNames names;
    private final RulesService rules;
    private final StallRecovery stallRecovery;
    private final Gate gate;
    private final Forwarder forwarder;
    private final QuotaService quotas;
    private final EntryAdmission admission;
    private final RouteCosts costs;
    private final MeshMetrics metrics;
    private final CountsService counts;
    private final EventLog log;
    private final Set<String> droppedHeaders;
    private final WeightedServiceSelector serviceSelector = new WeightedServiceSelector();
    private final Set<IncomingRequest> requestsInProgress = new LinkedHashSet<>();
    private boolean isClosed;

    EntryService(
            EventLoop loop,
            MeshSettings settings,
            HeaderNames names,
            RulesService rules,
            StallRecovery stallRecovery,
            Gate gate,
            Forwarder forwarder,
            QuotaService quotas,
            EntryAdmission admission,
            RouteCosts costs,
            MeshMetrics metrics,
            CountsService counts,
            EventLog log) {
        this.loop = loop;
        this.settings = settings;
        this.names = names;
        this.rules = rules;
        this.stallRecovery = stallRecovery;
        this.gate = gate;
        this.forwarder = forwarder;
        this.quotas = quotas;
        this.admission = admission;
        this.costs = costs;
        this.metrics = metrics;
        this.counts = counts;
        this.log = log;
        this.droppedHeaders = toLowerCase(
                "Authorization",
                names.requestId(),
                names.timeoutMs(),
                names.account(),
                names.callerService(),
                names.expectedInstance(),
                names.instance(),
                names.notExecuted());
    }

    void onRequest(HttpExchange exchange) {
        new IncomingRequest(exchange).handle();
    }

    int countInProgress() {
        return requestsInProgress.size();
    }

    /** Refuses all further requests, as the node is about to end. Requests in progress continue. */
    void close() {
        isClosed = true;
    }

    /** Ends the requests in progress with a response that states whether they may have run. */
    void abortAll() {
        for (IncomingRequest request : new ArrayList<>(requestsInProgress)) {
            request.giveUp(NODE_STOPPING);
        }
    }

    private static Set<String> toLowerCase(String... headers) {
        Set<String> lower = new HashSet<>();
        for (String header : headers) {
            lower.add(header.toLowerCase(Locale.ROOT));
        }
        return lower;
    }

    /** A request in progress. */
    private final class IncomingRequest {

        private final HttpExchange exchange;
        private final HttpRequestMessage request;
        private final String requestId;
        private final long startMs;
        private Optional<ServingRoute> route = Optional.empty();
        private Optional<AccountRule> account = Optional.empty();
        private Optional<Gate.Run> parent = Optional.empty();
        private String service = "";
        private Optional<Forwarder.Attempts> attempts = Optional.empty();
        private Optional<EventLoop.Timer> timeout = Optional.empty();
        private Supplier<String> logDetails = () -> "";
        private boolean isDone;

        IncomingRequest(HttpExchange exchange) {
            this.exchange = exchange;
            this.request = exchange.getRequest();
            this.requestId = request.findHeader(names.requestId()).orElse("");
            this.startMs = loop.nowMs();
        }

        void handle() {
            requestsInProgress.add(this);
            if (isClosed) {
                refuse(503, NODE_STOPPING, UNAVAILABLE_RETRY_AFTER_MS);
                return;
            }
            exchange.onAbandoned(this::abandon);
            stallRecovery.decide(this::decide);
        }

        private void decide() {
            if (isDone) {
                return;
            }
            Optional<ServingRules> currentRules = rules.getRules();
            if (currentRules.isEmpty()) {
                refuse(503, "rules-unknown", UNAVAILABLE_RETRY_AFTER_MS);
                return;
            }
            route = currentRules.get().findRoute(request.findHeader("Host").orElse(""), request.getPath());
            if (route.isEmpty()) {
                refuse(404, "no-route", 0);
                return;
            }
            long leftMs = Math.max(1, toTimeoutMs(route.get()) - (loop.nowMs() - startMs));
            if (!authenticate(currentRules.get(), route.get())) {
                if (isKeyless() && isFromLocalHost() && gate.isActive()) {
                    // This may be a nested call of a run that is not registered here, e.g. one from before a restart.
                    refuse(503, "no-parent", UNAVAILABLE_RETRY_AFTER_MS);
                } else {
                    logDetails = () -> " keyless=" + isKeyless() + " remote="
                            + exchange.getRemoteAddress()
                                    .map(InetAddress::getHostAddress)
                                    .orElse("-") + " local=" + isFromLocalHost();
                    refuse(401, "key-rejected", 0);
                }
                return;
            }
            service = serviceSelector.pick(route.get());
            int rank = toRank(route.get());
            Optional<Long> quotaRetryAfterMs = account.flatMap(quotas::charge);
            if (quotaRetryAfterMs.isPresent()) {
                logDetails = () -> quotas.toLogFields(account.orElseThrow());
                refuse(429, "over-rate", quotaRetryAfterMs.get());
                return;
            }
            if (parent.isEmpty() && shed(currentRules.get(), route.get(), rank)) {
                return;
            }
            forward(route.get(), rank, leftMs);
        }

        private long toTimeoutMs(ServingRoute matchedRoute) {
            long callerMs = findCallerTimeoutMs().orElse(DEFAULT_TIMEOUT_MS);
            return Math.max(1, Math.min(callerMs, matchedRoute.timeoutMs()) - TIMEOUT_MARGIN_MS);
        }

        /** Returns the timeout that the caller sent, or empty if it is absent or malformed. */
        private Optional<Long> findCallerTimeoutMs() {
            return request.findHeader(names.timeoutMs())
                    .filter(text -> TIMEOUT_PATTERN.matcher(text).matches())
                    .map(Long::valueOf);
        }

        /** Resolves the account of a request or the parent run of a nested call, and returns whether it has access. */
        private boolean authenticate(ServingRules currentRules, ServingRoute matchedRoute) {
            String header = request.findHeader("Authorization").orElse("");
            if (header.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)) {
                account = currentRules.findAccount(
                        header.substring(BEARER_PREFIX.length()).strip());
                return account.isPresent() || matchedRoute.isOpen();
            }
            if (isKeyless() && isFromLocalHost()) {
                parent = findCallerTimeoutMs().flatMap(timeoutMs -> gate.findParent(requestId, startMs + timeoutMs));
            }
            return matchedRoute.isOpen() || parent.isPresent();
        }

        /** Returns whether the request came from the node's own host, where the upstream runs. */
        private boolean isFromLocalHost() {
            InetAddress upstreamAddress = settings.upstream().getAddress();
            return exchange.isFromLocalHost()
                    || exchange.getRemoteAddress().map(upstreamAddress::equals).orElse(false);
        }

        private boolean isKeyless() {
            return request.findHeader("Authorization").isEmpty();
        }

        private int toRank(ServingRoute matchedRoute) {
            if (parent.isPresent()) {
                return parent.get().getRequest().rank();
            }
            return account.flatMap(AccountRule::rank).orElse(matchedRoute.rank());
        }

        private boolean shed(ServingRules currentRules, ServingRoute matchedRoute, int rank) {
            Optional<EntryAdmission.Rejection> rejection =
                    admission.check(currentRules, matchedRoute, service, rank, account, request, startMs);
            if (rejection.isEmpty()) {
                return false;
            }
            account.ifPresent(quotas::refund);
            logDetails = rejection.get()::toLogFields;
            refuse(503, rejection.get().getReason(), rejection.get().retryAfterMs());
            return true;
        }

        private void forward(ServingRoute matchedRoute, int rank, long leftMs) {
            List<HeaderField> headers = HttpHeaders.toEndToEnd(request.headers(), droppedHeaders);
            headers.add(new HeaderField(names.callerService(), settings.service()));
            account.ifPresent(rule -> headers.add(new HeaderField(names.account(), rule.name())));
            String tree = parent.map(run -> run.getRequest().rootRoute()).orElse(matchedRoute.name());
            ForwardedRequest forwarded = new ForwardedRequest(
                    requestId,
                    service,
                    tree,
                    rank,
                    parent.isPresent(),
                    parent.map(run -> run.getRequest().isRepeat()).orElse(false),
                    leftMs,
                    request.method(),
                    request.target(),
                    headers,
                    request.body(),
                    request.hasBody());
            timeout = Optional.of(loop.schedule(leftMs, this::expire));
            double progress = parent.map(run -> RepeatBudget.toProgress(run.countServedCalls()))
                    .orElse(1.0);
            Forwarder.Attempts newAttempts = forwarder.send(
                    forwarded,
                    matchedRoute.isIdempotent(),
                    Math.max(1, matchedRoute.attemptLimit()),
                    progress,
                    this::finish);
            attempts = Optional.of(newAttempts);
        }

        private void finish(ForwardedAnswer answer) {
            if (!answer.slotTimesMs().isEmpty()) {
                parent.ifPresent(run -> run.addSlotTimes(answer.slotTimesMs()));
                if (parent.isEmpty() && answer.isAnswered()) {
                    costs.record(route.orElseThrow().name(), answer.slotTimesMs());
                }
            }
            if (answer.isAnswered()) {
                List<HeaderField> headers = new ArrayList<>(answer.headers());
                if (!requestId.isEmpty()) {
                    headers.add(new HeaderField(names.requestId(), requestId));
                }
                respond(new HttpResponseMessage(answer.status(), headers, answer.body()), "answered");
            } else if (answer.execution() == Execution.NOT_RUN) {
                account.ifPresent(quotas::refund);
                long retryAfterMs = answer.reason().equals("overloaded")
                        ? EntryAdmission.randomRetryAfterMs()
                        : UNAVAILABLE_RETRY_AFTER_MS;
                refuse(503, answer.reason(), retryAfterMs);
            } else {
                refuse(answer.reason().equals("timeout") ? 504 : 502, answer.reason(), 0);
            }
        }

        private void expire() {
            giveUp("timeout");
        }

        private void giveUp(String reason) {
            boolean mayHaveExecuted =
                    attempts.map(Forwarder.Attempts::mayHaveExecuted).orElse(false);
            attempts.ifPresent(Forwarder.Attempts::cancel);
            refuse(mayHaveExecuted ? 504 : 503, reason, UNAVAILABLE_RETRY_AFTER_MS);
        }

        private void abandon() {
            attempts.ifPresent(Forwarder.Attempts::cancel);
            end("caller-left", 0);
        }

        private void refuse(int status, String reason, long retryAfterMs) {
            List<HeaderField> headers =
                    requestId.isEmpty() ? List.of() : List.of(new HeaderField(names.requestId(), requestId));
            respond(Refusals.of(status, reason, retryAfterMs, headers), reason);
        }

        private void respond(HttpResponseMessage response, String outcome) {
            if (isDone) {
                return;
            }
            end(outcome, response.status());
            exchange.respond(response);
        }

        private void end(String outcome, int status) {
            if (isDone) {
                return;
            }
            isDone = true;
            requestsInProgress.remove(this);
            timeout.ifPresent(EventLoop.Timer::cancel);
            if (status == 0 || status >= 400) {
                boolean isFailedByService = !PATH_FAILURES.contains(outcome);
                parent.ifPresent(run -> run.onNestedCallFailed(isFailedByService));
            } else {
                parent.ifPresent(Gate.Run::onNestedCallServed);
            }
            long tookMs = loop.nowMs() - startMs;
            String routeName = route.map(ServingRoute::name).orElse("none");
            metrics.record(routeName, outcome, status, tookMs);
            if (parent.isEmpty()) {
                String accountName = account.map(AccountRule::name).orElse("");
                counts.record(accountName, routeName, CountsService.toOutcome(status, outcome));
            }
            boolean isExpected = outcome.equals("answered") && status < 500;
            if (!isExpected && log.tryAcquireRequestLine(loop.nowMs())) {
                log.info("event=request-ended request=" + requestId + " route=" + routeName + " service=" + service
                        + " account=" + account.map(AccountRule::name).orElse("-") + " nested=" + parent.isPresent()
                        + parent.map(run -> " parent=" + run.getRequest().requestId())
                                .orElse("")
                        + " status=" + status + " outcome=" + outcome + " took-ms=" + tookMs + " rules-version="
                        + rules.getVersion() + " rules-age-ms=" + rules.getAgeMs() + " store-age-ms="
                        + rules.getStoreAgeMs()
                        + stallRecovery
                                .findStallAgeMs()
                                .map(ageMs -> " since-stall-ms=" + ageMs)
                                .orElse("")
                        + attempts.map(Forwarder.Attempts::toLogFields).orElse("") + logDetails.get());
            }
        }
    }
}
