package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.decision.serving.FailureRatio;
import io.cranberryarch.decision.serving.RunRegistry;
import io.cranberryarch.decision.serving.SlotScheduler;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientConnection;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpFailure;
import io.cranberryarch.net.HttpHeaders;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits the concurrency and the rate of requests of the upstream on the node's host: sends it no more requests than it
 * has slots and takes a second, queues the others by rank, and refuses requests that cannot run in time or that the
 * upstream no longer accepts.
 */
final class Gate {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** How long after its last run, or after the start of the node, the upstream may still make nested calls. */
    private static final long NESTED_CALL_WINDOW_MS = 6_000;

    private static final long QUEUE_CHECK_INTERVAL_MS = 25;

    /** Number of refused requests whose identifiers are kept to detect that a refusal is repeated. */
    private static final int MAX_REFUSED_IDS = 1_024;

    private static final int MISDIRECTED_REQUEST = 421;

    private final EventLoop loop;
    private final HeaderNames names;
    private final EventLog log;
    private final HttpClientPool connections;
    private final SlotScheduler<Run> scheduler;
    private final RunRegistry<Run> runRegistry = new RunRegistry<>();
    private final FailureRatio failures = FailureRatio.ofUpstream();
    private final UpstreamState upstream;
    private final RateLimitTracker rateLimit;
    private final Set<String> echoedHeaders;
    private final Set<String> refusedIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REFUSED_IDS;
        }
    });
    private long lastRunEndedAtMs;
    private boolean isQueueCheckScheduled;

    Gate(
            EventLoop loop,
            HttpClientPool connections,
            HeaderNames names,
            UpstreamState upstream,
            RateLimitTracker rateLimit,
            EventLog log) {
        this.loop = loop;
        this.names = names;
        this.upstream = upstream;
        this.rateLimit = rateLimit;
        this.scheduler = new SlotScheduler<>(rateLimit.getLimit());
        this.log = log;
        this.connections = connections;
        this.echoedHeaders = Set.of(names.requestId().toLowerCase(Locale.ROOT));
        this.lastRunEndedAtMs = loop.nowMs();
        upstream.addListener(this::refuseUnsent);
    }

    /**
     * Runs a request, immediately or once a slot is free.
     *
     * @param request the request
     * @param callback receives the outcome once, unless the request is cancelled
     * @return an action that cancels the request
     */
    Runnable handle(ForwardedRequest request, Consumer<ForwardedAnswer> callback) {
        Run run = new Run(request, callback, loop.nowMs());
        Optional<String> refusal = findRefusal(run);
        if (refusal.isPresent()) {
            run.finish(fail(Execution.NOT_RUN, refusal.get()));
            return () -> {};
        }
        switch (scheduler.offer(run, request.rank(), run.deadlineMs, getLimit(), loop.nowMs())) {
            case START -> run.start();
            case WAIT -> scheduleQueueCheck();
            default -> run.finish(fail(Execution.NOT_RUN, "overloaded"));
        }
        return run::cancel;
    }

    /**
     * Finds the run that a nested call of the upstream belongs to.
     *
     * @param requestId the identifier of the nested call
     * @param deadlineMs the deadline of the nested call, in milliseconds of the monotonic clock
     * @return the run, or empty if none matches
     */
    Optional<Run> findParent(String requestId, long deadlineMs) {
        return runRegistry.find(names.toParentId(requestId), deadlineMs);
    }

    /** Returns whether the upstream may be running a request, sent by this node or before this node started. */
    boolean isActive() {
        return scheduler.countRunning() > 0 || loop.nowMs() - lastRunEndedAtMs < NESTED_CALL_WINDOW_MS;
    }

    int getLimit() {
        return SlotScheduler.toLimit(upstream.getSlots());
    }

    /** Returns the number of requests that the upstream runs at full load, less than its slots at a rate limit. */
    double getUsableLimit() {
        return scheduler.toUsableConcurrency(getLimit(), loop.nowMs());
    }

    /** Returns the share of requests that fail because of the upstream itself, from 0 to 1. */
    double getFailureRatio() {
        return failures.get(loop.nowMs());
    }

    int countInFlight() {
        return scheduler.countRunning() + scheduler.countWaiting();
    }

    int countWaiting() {
        return scheduler.countWaiting();
    }

    private Optional<String> findRefusal(Run run) {
        if (!upstream.isKnown()) {
            return Optional.of("no-upstream");
        }
        if (!upstream.getService().equals(run.request.service())) {
            return Optional.of("wrong-service");
        }
        return upstream.isLeaving() ? Optional.of("leaving") : Optional.empty();
    }

    private ForwardedAnswer fail(Execution execution, String reason) {
        return ForwardedAnswer.ofFailure(
                execution, reason, upstream.isKnown() ? getUsableLimit() : 0, countInFlight(), getFailureRatio());
    }

    /** Schedules a check of the queue if requests are waiting, so that an idle node is not woken up. */
    private void scheduleQueueCheck() {
        if (!isQueueCheckScheduled && scheduler.countWaiting() > 0) {
            isQueueCheckScheduled = true;
            loop.schedule(QUEUE_CHECK_INTERVAL_MS, this::checkQueue);
        }
    }

    /** Refuses the requests that have waited too long, and starts those that the rate limit permits by now. */
    private void checkQueue() {
        isQueueCheckScheduled = false;
        for (Run run : scheduler.removeExpired(loop.nowMs())) {
            run.finish(fail(Execution.NOT_RUN, "overloaded"));
        }
        startNext();
        scheduleQueueCheck();
    }

    /** Refuses the requests that have not been sent to the upstream, if the upstream leaves. */
    private void refuseUnsent() {
        if (!upstream.isUpstreamLeaving()) {
            return;
        }
        for (Run run : scheduler.removeAllWaiting()) {
            run.finish(fail(Execution.NOT_RUN, "leaving"));
        }
        for (Run run : scheduler.getRunning()) {
            run.refuseIfUnsent();
        }
    }

    private void startNext() {
        Optional<Run> next = scheduler.pollNext(getLimit(), loop.nowMs());
        while (next.isPresent()) {
            Run run = next.get();
            if (upstream.isLeaving() || !upstream.isKnown()) {
                scheduler.release(run);
                run.finish(fail(Execution.NOT_RUN, "leaving"));
            } else {
                run.start();
            }
            next = scheduler.pollNext(getLimit(), loop.nowMs());
        }
    }

    /** A request that waits or runs at the gate. */
    final class Run implements HttpClientConnection.Callback {

        private final ForwardedRequest request;
        private final Consumer<ForwardedAnswer> callback;
        private final Map<String, Double> slotTimesMs = new HashMap<>();
        private long deadlineMs;
        private long startedAtMs;
        private UpstreamIncarnation incarnation;
        private Optional<HttpClientConnection> connection = Optional.empty();
        private Optional<EventLoop.Timer> timeout = Optional.empty();
        private int servedCalls;
        private boolean hasFailedNestedCall;
        private boolean isCallFailedByService;
        private boolean isFinished;

        private Run(ForwardedRequest request, Consumer<ForwardedAnswer> callback, long nowMs) {
            this.request = request;
            this.callback = callback;
            this.deadlineMs = nowMs + request.timeoutMs();
        }

        ForwardedRequest getRequest() {
            return request;
        }

        /**
         * Records that a nested call failed, which may cause the run itself to fail.
         *
         * @param isFailedByService whether the service failed or refused the call, so that it would fail at another
         *     instance of this upstream as well
         */
        void onNestedCallFailed(boolean isFailedByService) {
            hasFailedNestedCall = true;
            isCallFailedByService |= isFailedByService;
        }

        void onNestedCallServed() {
            servedCalls++;
        }

        int countServedCalls() {
            return servedCalls;
        }

        /** Adds the slot time that a nested call used, in milliseconds by service. */
        void addSlotTimes(Map<String, Double> nestedTimesMs) {
            nestedTimesMs.forEach((service, ms) -> slotTimesMs.merge(service, ms, Double::sum));
        }

        private void start() {
            startedAtMs = loop.nowMs();
            incarnation = upstream.getIncarnation();
            deadlineMs = runRegistry.add(this, request.requestId(), deadlineMs);
            long leftMs = Math.max(1, deadlineMs - startedAtMs);
            List<HeaderField> headers = new ArrayList<>(request.headers());
            if (!request.requestId().isEmpty()) {
                headers.add(new HeaderField(names.requestId(), request.requestId()));
            }
            headers.add(new HeaderField(names.timeoutMs(), String.valueOf(leftMs)));
            headers.add(new HeaderField(names.expectedInstance(), upstream.getInstance()));
            HttpRequestMessage message = new HttpRequestMessage(
                    request.method(), request.target(), headers, request.body(), request.hasBody());
            timeout = Optional.of(loop.schedule(leftMs, this::expire));
            connection = Optional.of(connections.send(message, this::isMatchingResponse, this));
        }

        private boolean isMatchingResponse(HttpResponseMessage response) {
            return response.findHeader(names.requestId())
                    .map(id -> id.equals(request.requestId()))
                    .orElse(true);
        }

        @Override
        public void onResponse(HttpResponseMessage response) {
            if (response.findHeader(names.requestId()).isEmpty()) {
                // It may belong to an earlier request, and the response to this one may still follow.
                connection.ifPresent(HttpClientConnection::cancel);
                end(fail(Execution.UNKNOWN, "answer-without-id"));
                return;
            }
            boolean isFromOtherInstance = response.status() == MISDIRECTED_REQUEST;
            if (!isFromOtherInstance) {
                applyStateOfUpstream(response);
            }
            if (isFromOtherInstance || response.findHeader(names.notExecuted()).isPresent()) {
                onRefused(response.status());
                return;
            }
            // A failure after a failed nested call is not attributed to this upstream.
            failures.record(response.status() >= MIN_SERVER_ERROR_STATUS && !hasFailedNestedCall, loop.nowMs());
            double tookMs = loop.nowMs() - startedAtMs;
            scheduler.recordDuration(tookMs);
            slotTimesMs.merge(request.service(), tookMs, Double::sum);
            List<HeaderField> headers = HttpHeaders.toEndToEnd(response.headers(), echoedHeaders);
            end(new ForwardedAnswer(
                    Execution.RUN,
                    isCallFailedByService ? ForwardedAnswer.NESTED_CALL_FAILED : "",
                    response.status(),
                    headers,
                    response.body(),
                    slotTimesMs,
                    getUsableLimit(),
                    countInFlight(),
                    getFailureRatio()));
        }

        /** Applies what the upstream states about itself in any response. */
        private void applyStateOfUpstream(HttpResponseMessage response) {
            rateLimit.onResponse(incarnation, startedAtMs, response.findHeader(names.rateLimit()));
            if (response.findHeader(names.leaving())
                    .filter(HeaderNames.LEAVING::equals)
                    .isPresent()) {
                upstream.onLeavingResponse(incarnation);
            }
        }

        private void onRefused(int status) {
            if (!refusedIds.add(request.requestId())) {
                // Nested calls may be made again under the same identifier, so this may be the earlier refusal.
                connection.ifPresent(HttpClientConnection::cancel);
                end(fail(Execution.UNKNOWN, "refusal-repeated"));
                return;
            }
            if (status == MISDIRECTED_REQUEST) {
                upstream.onReplaced();
                end(fail(Execution.NOT_RUN, "upstream-replaced"));
                return;
            }
            failures.record(true, loop.nowMs());
            end(fail(Execution.NOT_RUN, "rejected-by-upstream"));
        }

        @Override
        public void onFailure(HttpFailure failure, String cause) {
            boolean isSent = failure != HttpFailure.NOT_SENT;
            failures.record(true, loop.nowMs());
            if (!isSent) {
                upstream.onUnreachable(cause);
            }
            end(fail(
                    isSent ? Execution.UNKNOWN : Execution.NOT_RUN,
                    isSent ? "upstream-connection-lost" : "upstream-unreachable"));
        }

        private boolean isSent() {
            return connection.map(HttpClientConnection::isConnected).orElse(false);
        }

        private void refuseIfUnsent() {
            if (!isSent()) {
                connection.ifPresent(HttpClientConnection::cancel);
                end(fail(Execution.NOT_RUN, "leaving"));
            }
        }

        private void expire() {
            boolean isSent = isSent();
            connection.ifPresent(HttpClientConnection::cancel);
            end(fail(isSent ? Execution.UNKNOWN : Execution.NOT_RUN, "timeout"));
        }

        private void cancel() {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (!scheduler.removeWaiting(this)) {
                connection.ifPresent(HttpClientConnection::cancel);
                release();
            }
        }

        private void end(ForwardedAnswer answer) {
            release();
            finish(answer);
        }

        private void release() {
            timeout.ifPresent(EventLoop.Timer::cancel);
            if (scheduler.release(this)) {
                runRegistry.remove(request.requestId(), deadlineMs);
                lastRunEndedAtMs = loop.nowMs();
                startNext();
            }
        }

        private void finish(ForwardedAnswer answer) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (!answer.isAnswered() && log.tryAcquireRequestLine(loop.nowMs())) {
                log.info("event=gate-failure request=" + request.requestId() + " service=" + request.service()
                        + " instance=" + upstream.getInstance() + " execution="
                        + answer.execution().toText() + " reason=" + answer.reason() + " rank=" + request.rank()
                        + " running=" + scheduler.countRunning() + " waiting=" + scheduler.countWaiting() + " limit="
                        + answer.limit() + " rate-limit="
                        + RateLimitTracker.toText(rateLimit.getLimit().getRatePerS())
                        + " left-ms=" + (deadlineMs - loop.nowMs()));
            }
            callback.accept(answer);
        }
    }
}
