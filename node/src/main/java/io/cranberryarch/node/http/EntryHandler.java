package io.cranberryarch.node.http;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Digests;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.decision.retry.RetryBudget;
import io.cranberryarch.node.call.CallService;
import io.cranberryarch.node.call.IdempotencyKeyService;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.node.rate.RateService;
import io.cranberryarch.node.report.CountsReporter;
import io.cranberryarch.node.report.OutcomeMapper;
import io.cranberryarch.settings.ClientAccount;
import io.cranberryarch.settings.Route;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.tinylog.Logger;

/** Handles requests of callers: finds the route, authenticates the account, charges its rate and sends the call. */
public final class EntryHandler extends Handler.Abstract.NonBlocking {

    private static final int REQUEST_ID_BYTES = 8;
    private static final long SETTINGS_RETRY_AFTER_MS = 1_000;

    private final SettingsService settings;
    private final Credentials credentials;
    private final RateService rates;
    private final KeyIssuer keyIssuer;
    private final CallService calls;
    private final NodeMetrics metrics;
    private final CountsReporter counts;
    private final int maxBodyBytes;
    private final FailureLog failures = new FailureLog(Clock.system(), Logger::info);

    /**
     * Creates a handler.
     *
     * @param settings the settings in force
     * @param rates charges the rates of client accounts
     * @param calls sends calls
     * @param keys issues idempotency keys
     * @param metrics records outcomes and latencies
     * @param counts counts outcomes for the report
     * @param maxBodyBytes the maximum length of a request body in bytes
     */
    public EntryHandler(
            SettingsService settings,
            RateService rates,
            CallService calls,
            IdempotencyKeyService keys,
            NodeMetrics metrics,
            CountsReporter counts,
            int maxBodyBytes) {
        this.settings = settings;
        this.credentials = new Credentials(settings);
        this.rates = rates;
        this.keyIssuer = new KeyIssuer(settings, credentials, rates, keys);
        this.calls = calls;
        this.metrics = metrics;
        this.counts = counts;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (Request.getPathInContext(request).equals(KeyIssuer.PATH) && settings.isReady()) {
            keyIssuer.handle(request, response, callback);
            return true;
        }
        EntryRequest entry = new EntryRequest(request, response, callback);
        Optional<Refusal> refusal = entry.check();
        if (refusal.isPresent()) {
            entry.refuse(refusal.get());
            return true;
        }
        entry.charge().thenAccept(overRate -> overRate.ifPresentOrElse(entry::refuse, entry::read));
        return true;
    }

    /** A request of a caller and the state of its processing. */
    private final class EntryRequest {

        private final Request request;
        private final Response response;
        private final Callback callback;
        private final String requestId = Digests.randomHex(REQUEST_ID_BYTES);
        private final long startNanos = System.nanoTime();
        private Optional<Route> route = Optional.empty();
        private Optional<ClientAccount> client = Optional.empty();
        private String account = "";

        EntryRequest(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = HttpRequests.toDrainingCallback(request, maxBodyBytes, callback);
        }

        Optional<Refusal> check() {
            if (!settings.isReady()) {
                return Optional.of(Refusal.ofNotRun(RefusalReason.SETTINGS_UNAVAILABLE, SETTINGS_RETRY_AFTER_MS));
            }
            route = settings.getFleetSettings().findRoute(Request.getPathInContext(request));
            if (route.isEmpty()) {
                return Optional.of(Refusal.ofNotRun(RefusalReason.NO_ROUTE, 0));
            }
            Optional<Refusal> tooLarge = HttpRequests.checkLength(request, maxBodyBytes);
            if (tooLarge.isPresent()) {
                return tooLarge;
            }
            return route.get().open() ? Optional.empty() : checkAccount();
        }

        private Optional<Refusal> checkAccount() {
            Optional<ClientAccount> found = credentials.authenticate(request);
            if (found.isEmpty()) {
                return Optional.of(Refusal.ofNotRun(RefusalReason.KEY_REJECTED, 0));
            }
            client = found;
            account = found.get().name();
            return Optional.empty();
        }

        CompletableFuture<Optional<Refusal>> charge() {
            return client.map(rates::charge).orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
        }

        void read() {
            HttpRequests.read(request, maxBodyBytes).whenComplete((body, failure) -> {
                if (failure != null) {
                    refuse(HttpRequests.toRefusal(failure));
                } else {
                    send(body);
                }
            });
        }

        void send(byte[] body) {
            Route target = route.orElseThrow();
            Optional<String> key = Optional.ofNullable(request.getHeaders().get(RequestHeaders.IDEMPOTENCY_KEY));
            RequestContext context = new RequestContext(
                    requestId,
                    account,
                    target.kind(),
                    target.priority(),
                    target.idempotent(),
                    key,
                    0,
                    HttpRequests.isFirstAttempt(request));
            CallRequest call = new CallRequest(
                    context,
                    target.service(),
                    toTimeoutMs(target),
                    RetryBudget.ROOT_TOKENS,
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    HttpRequests.toForwardedHeaders(request),
                    body);
            CompletableFuture<CallResult> pendingResult = calls.send(call);
            request.addFailureListener(failure -> pendingResult.cancel(false));
            pendingResult.whenComplete((result, failure) -> {
                if (pendingResult.isCancelled()) {
                    refuse(Refusal.ofUnknown(RefusalReason.CANCELLED, 0));
                } else if (failure != null) {
                    Logger.error(failure, "request-failed request={}", requestId);
                    refuse(Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, SETTINGS_RETRY_AFTER_MS));
                } else {
                    finish(result);
                }
            });
        }

        void refuse(Refusal refusal) {
            finish(CallResult.ofRefusal(refusal, 0, Optional.empty()));
        }

        private void finish(CallResult lastResult) {
            boolean isKeyed = request.getHeaders().contains(RequestHeaders.IDEMPOTENCY_KEY)
                    && !route.map(Route::idempotent).orElse(false);
            CallResult result =
                    HttpResponses.adjustExecution(lastResult, isKeyed, HttpRequests.isFirstAttempt(request));
            String outcome = result.refusal()
                    .map(refusal -> refusal.reason().toText())
                    .orElse(result.status() < 500 ? "ok" : "upstream-error");
            String kind = route.map(Route::kind).orElse("none");
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            metrics.record(account, kind, outcome, micros);
            counts.record(account, kind, OutcomeMapper.of(result));
            failures.onEnd(
                    requestId,
                    account,
                    route.map(Route::name).orElse(""),
                    result,
                    TimeUnit.MICROSECONDS.toMillis(micros),
                    settings.getVersion());
            HttpResponses.write(response, callback, result, requestId);
        }

        private long toTimeoutMs(Route target) {
            String header = request.getHeaders().get(RequestHeaders.REQUEST_TIMEOUT);
            if (header == null || !header.matches("\\d{1,9}")) {
                return target.timeoutMs();
            }
            return Math.min(target.timeoutMs(), Long.parseLong(header));
        }
    }
}
