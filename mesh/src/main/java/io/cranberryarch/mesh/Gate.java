package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.decision.serving.FailureRatio;
import io.cranberryarch.decision.serving.RankQueue;
import io.cranberryarch.decision.serving.RunRegistry;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientConnection;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpFailure;
import io.cranberryarch.net.HttpHeaders;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Guards the upstream on the machine of the node: it sends no more requests than the upstream has slots, lets the rest
 * wait by rank, and refuses what cannot be run in time or what the upstream must not get any more.
 */
final class Gate {

    /** The part of the slots kept free for new connections and health checks, which hold a slot for a moment. */
    private static final double RESERVED_PART = 0.05;

    /** The weight of the newest outcome in the upstream's share of failures, and how long a failure is remembered. */
    private static final double FAILURE_WEIGHT = 0.05;

    private static final double FAILURE_HALF_LIFE_MS = 3_000;

    private static final int SERVER_ERROR = 500;

    /** The weight of the newest run in the average duration of a run. */
    private static final double DURATION_WEIGHT = 0.02;

    /** How long after its last run, or after the start of the node, an upstream may still make calls for a run. */
    private static final long ACTIVE_MS = 6_000;

    private static final double FIRST_DURATION_MS = 50;
    private static final long EXPIRY_CHECK_INTERVAL_MS = 25;

    private final EventLoop loop;
    private final HeaderNames names;
    private final EventLog log;
    private final HttpClientPool connections;
    private final RankQueue<Run> waiting = new RankQueue<>();
    private final RunRegistry<Run> registry = new RunRegistry<>();
    private final Set<Run> running = new HashSet<>();
    private final FailureRatio failures = new FailureRatio(FAILURE_WEIGHT, FAILURE_HALF_LIFE_MS);
    private final UpstreamState upstream;
    private final Set<String> echoedHeaders;
    private double durationMs = FIRST_DURATION_MS;
    private long lastRunAtMs;
    private boolean isWatchingExpiry;

    Gate(EventLoop loop, HttpClientPool connections, HeaderNames names, UpstreamState upstream, EventLog log) {
        this.loop = loop;
        this.names = names;
        this.upstream = upstream;
        this.log = log;
        this.connections = connections;
        this.echoedHeaders = Set.of(names.requestId().toLowerCase(Locale.ROOT));
        this.lastRunAtMs = loop.nowMs();
    }

    /**
     * Runs a request, now or when its turn comes.
     *
     * @param request the request
     * @param callback takes the outcome, once, unless the request is cancelled
     * @return gives the request up
     */
    Runnable handle(ForwardedRequest request, Consumer<ForwardedAnswer> callback) {
        Run run = new Run(request, callback, loop.nowMs());
        Optional<String> refusal = findRefusal(run);
        if (refusal.isPresent()) {
            run.finish(fail(Execution.NOT_RUN, refusal.get()));
            return () -> {};
        }
        if (running.size() < getLimit()) {
            run.start();
        } else {
            waiting.add(run, request.rank(), run.deadlineMs - Math.round(durationMs));
            watchExpiry();
        }
        return run::cancel;
    }

    /**
     * Finds the request at whose run the upstream makes a call.
     *
     * @param deadlineMs the deadline of the call in monotonic milliseconds
     * @return the request, or empty if none matches
     */
    Optional<Run> findParent(long deadlineMs) {
        return registry.find(deadlineMs);
    }

    /** Tells whether the upstream may run a request: one of this node, or one from before its start. */
    boolean isActive() {
        return !running.isEmpty() || loop.nowMs() - lastRunAtMs < ACTIVE_MS;
    }

    int getLimit() {
        int slots = upstream.getSlots();
        return Math.max(1, slots - Math.max(1, (int) Math.round(slots * RESERVED_PART)));
    }

    /** Gets the share of requests that the upstream fails by itself. */
    double getFailureRatio() {
        return failures.get(loop.nowMs());
    }

    int countInFlight() {
        return running.size() + waiting.getSize();
    }

    int countWaiting() {
        return waiting.getSize();
    }

    private Optional<String> findRefusal(Run run) {
        if (!upstream.isKnown()) {
            return Optional.of("no-upstream");
        }
        if (!upstream.getService().equals(run.request.service())) {
            return Optional.of("wrong-service");
        }
        if (upstream.isLeaving()) {
            return Optional.of("leaving");
        }
        if (running.size() < getLimit()) {
            return Optional.empty();
        }
        double waitMs = (waiting.countAhead(run.request.rank()) + 1) * durationMs / getLimit();
        boolean isTooLate = waitMs + durationMs > run.request.timeoutMs();
        return isTooLate ? Optional.of("overloaded") : Optional.empty();
    }

    private ForwardedAnswer fail(Execution execution, String reason) {
        return ForwardedAnswer.ofFailure(
                execution, reason, upstream.isKnown() ? getLimit() : 0, countInFlight(), getFailureRatio());
    }

    /** Checks the waiting requests for as long as there are any; an idle node is not woken for it. */
    private void watchExpiry() {
        if (!isWatchingExpiry && waiting.getSize() > 0) {
            isWatchingExpiry = true;
            loop.schedule(EXPIRY_CHECK_INTERVAL_MS, this::refuseExpired);
        }
    }

    private void refuseExpired() {
        isWatchingExpiry = false;
        for (Run run : waiting.removeExpired(loop.nowMs())) {
            run.finish(fail(Execution.NOT_RUN, "overloaded"));
        }
        watchExpiry();
    }

    private void startNext() {
        while (running.size() < getLimit()) {
            Optional<Run> next = waiting.poll();
            if (next.isEmpty()) {
                return;
            }
            if (upstream.isLeaving() || !upstream.isKnown()) {
                next.get().finish(fail(Execution.NOT_RUN, "leaving"));
            } else {
                next.get().start();
            }
        }
    }

    /** One request at the gate. */
    final class Run implements HttpClientConnection.Callback {

        private final ForwardedRequest request;
        private final Consumer<ForwardedAnswer> callback;
        private final Map<String, Double> usedMs = new HashMap<>();
        private long deadlineMs;
        private long startedAtMs;
        private Optional<HttpClientConnection> connection = Optional.empty();
        private Optional<EventLoop.Timer> timeout = Optional.empty();
        private boolean hasFailedCall;
        private boolean isFinished;

        private Run(ForwardedRequest request, Consumer<ForwardedAnswer> callback, long nowMs) {
            this.request = request;
            this.callback = callback;
            this.deadlineMs = nowMs + request.timeoutMs();
        }

        ForwardedRequest getRequest() {
            return request;
        }

        /** Notes that a nested call failed, so that the run may fail for it. */
        void onCallFailed() {
            hasFailedCall = true;
        }

        /** Adds what a nested call used. */
        void addUsed(Map<String, Double> nestedMs) {
            nestedMs.forEach((service, ms) -> usedMs.merge(service, ms, Double::sum));
        }

        private void start() {
            running.add(this);
            startedAtMs = loop.nowMs();
            deadlineMs = registry.add(this, deadlineMs);
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
            connection = Optional.of(connections.send(message, this::isAnswer, this));
        }

        private boolean isAnswer(HttpResponseMessage response) {
            return response.findHeader(names.requestId())
                    .map(id -> id.equals(request.requestId()))
                    .orElse(true);
        }

        @Override
        public void onResponse(HttpResponseMessage response) {
            if (response.findHeader(names.notExecuted()).isPresent()) {
                failures.record(true, loop.nowMs());
                end(fail(Execution.NOT_RUN, "rejected-by-upstream"));
                return;
            }
            if (response.status() == 421) {
                upstream.onReplaced();
                end(fail(Execution.NOT_RUN, "upstream-replaced"));
                return;
            }
            if (response.findHeader(names.requestId()).isEmpty()) {
                end(fail(Execution.UNKNOWN, "answer-without-id"));
                return;
            }
            // A failure after a failed call of its own is not the fault of this upstream.
            failures.record(response.status() >= SERVER_ERROR && !hasFailedCall, loop.nowMs());
            double tookMs = loop.nowMs() - startedAtMs;
            durationMs += DURATION_WEIGHT * (tookMs - durationMs);
            usedMs.merge(request.service(), tookMs, Double::sum);
            List<HeaderField> headers = HttpHeaders.toEndToEnd(response.headers(), echoedHeaders);
            end(new ForwardedAnswer(
                    Execution.RUN,
                    "",
                    response.status(),
                    headers,
                    response.body(),
                    usedMs,
                    getLimit(),
                    countInFlight(),
                    getFailureRatio()));
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

        private void expire() {
            boolean isSent = connection.map(HttpClientConnection::isConnected).orElse(false);
            connection.ifPresent(HttpClientConnection::cancel);
            end(fail(isSent ? Execution.UNKNOWN : Execution.NOT_RUN, "timeout"));
        }

        private void cancel() {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (!waiting.remove(this)) {
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
            if (running.remove(this)) {
                registry.remove(deadlineMs);
                lastRunAtMs = loop.nowMs();
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
                        + " running=" + running.size() + " waiting=" + waiting.getSize() + " limit=" + answer.limit()
                        + " left-ms=" + (deadlineMs - loop.nowMs()));
            }
            callback.accept(answer);
        }
    }
}
