package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.decision.serving.LatencyEstimate;
import io.cranberryarch.decision.serving.RepeatBudget;
import io.cranberryarch.decision.serving.SendOutcome;
import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/** Forwards requests to an instance of their service, and repeats them at others if that is safe and within budget. */
final class Forwarder {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** The number of times that a request may be redirected after a refusal before it reached an upstream. */
    private static final int MAX_REDIRECTS = 3;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final Gate gate;
    private final MeshMetrics metrics;
    private final EventLog log;
    private final Map<String, RepeatBudget> budgets = new HashMap<>();
    private final Map<String, LatencyEstimate> latencies = new HashMap<>();

    private MeshSettings settings;

    Forwarder(
            EventLoop loop, MeshSettings settings, PeerDirectory peers, Gate gate, MeshMetrics metrics, EventLog log) {
        this.loop = loop;
        this.settings = settings;
        this.peers = peers;
        this.gate = gate;
        this.metrics = metrics;
        this.log = log;
    }

    void setSettings(MeshSettings changed) {
        settings = changed;
        budgets.clear();
    }

    /**
     * Sends a request to an instance of its service.
     *
     * @param request the request
     * @param isIdempotent whether the request may run more than once
     * @param attemptLimit the maximum number of instances that may run the request
     * @param progress how much of the run that makes the request is done, 1 if it is not nested
     * @param callback receives the outcome once, unless the request is cancelled
     * @return the attempts, which can be cancelled
     */
    Attempts send(
            ForwardedRequest request,
            boolean isIdempotent,
            int attemptLimit,
            double progress,
            Consumer<ForwardedAnswer> callback) {
        Attempts attempts = new Attempts(request, isIdempotent, attemptLimit, progress, callback);
        RepeatBudget budget = getBudget(request.service());
        if (request.isRepeat()) {
            budget.onSendInRepeatedRun(peers.countNodes(), loop.nowMs());
        } else {
            budget.onFirstSend(peers.countNodes(), loop.nowMs());
        }
        attempts.sendNext();
        return attempts;
    }

    private RepeatBudget getBudget(String service) {
        return budgets.computeIfAbsent(service, unused -> {
            metrics.gauge(
                    "repeat_budget_left{service=\"" + service + "\"}",
                    () -> Math.floor(getBudget(service).getRemaining(peers.countNodes())));
            return new RepeatBudget(settings.repeatRatio(), settings.repeatSlack());
        });
    }

    /** The attempts to send one request. */
    final class Attempts {

        private final ForwardedRequest request;
        private final boolean isIdempotent;
        private final int attemptLimit;
        private final double progress;
        private final Consumer<ForwardedAnswer> callback;
        private final long deadlineMs;
        private final Set<String> triedNodes = new LinkedHashSet<>();
        private final Map<Integer, Runnable> activeAttempts = new HashMap<>();
        private final LatencyEstimate latency;
        private Optional<EventLoop.Timer> hedgeTimer = Optional.empty();
        private int sentCount;
        private int notRunCount;
        private int redirectCount;
        private boolean mayHaveRun;
        private boolean hasReachedUpstream;
        private boolean isDone;

        private Attempts(
                ForwardedRequest request,
                boolean isIdempotent,
                int attemptLimit,
                double progress,
                Consumer<ForwardedAnswer> callback) {
            this.request = request;
            this.isIdempotent = isIdempotent;
            this.attemptLimit = attemptLimit;
            this.progress = progress;
            this.callback = callback;
            this.deadlineMs = loop.nowMs() + request.timeoutMs();
            // Nested and direct requests to the same service differ in their work, and so in their latency.
            String latencyKey = request.service() + (request.isNested() ? "/nested/" : "/") + request.rootRoute();
            this.latency = latencies.computeIfAbsent(latencyKey, unused -> new LatencyEstimate());
        }

        /** Cancels the request; the callback is not invoked afterwards. */
        void cancel() {
            if (!isDone) {
                end();
            }
        }

        /** Returns whether an instance may have run the request. */
        boolean mayHaveExecuted() {
            return mayHaveRun || sentCount > 0;
        }

        /** Formats the nodes that the request was sent to, as fields of a log line. */
        String toLogFields() {
            return " attempts=" + sentCount + " tried=" + (triedNodes.isEmpty() ? "-" : String.join(",", triedNodes));
        }

        private void sendNext() {
            Optional<Peer> chosen = chooseInstance();
            if (chosen.isEmpty()) {
                finish(ForwardedAnswer.ofFailure(mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN, "no-instance"));
                return;
            }
            Peer peer = chosen.get();
            triedNodes.add(peer.getInfo().node());
            int number = ++sentCount;
            metrics.count(number == 1 ? "attempts{kind=\"first\"}" : "attempts{kind=\"repeat\"}");
            long startMs = loop.nowMs();
            boolean isResend = hasReachedUpstream || !activeAttempts.isEmpty();
            ForwardedRequest attempt = request.toAttempt(Math.max(1, deadlineMs - startMs), isResend);
            activeAttempts.put(number, () -> {});
            Runnable cancel;
            if (peers.isSelf(peer)) {
                cancel = gate.handle(attempt, answer -> onAnswer(number, peer, startMs, answer));
            } else {
                peer.getLoad().onSend();
                PeerLink link = peer.getLink().orElseThrow();
                cancel = link.forward(attempt, isIdempotent, answer -> onAnswer(number, peer, startMs, answer));
            }
            activeAttempts.replace(number, cancel);
            scheduleHedgedAttempt();
        }

        /** Schedules a hedged attempt for an idempotent request whose answer is overdue; the first answer is used. */
        private void scheduleHedgedAttempt() {
            long overdueMs = latency.toOverdueMs();
            // A hedged attempt at a run with nested calls would repeat those calls as well.
            boolean isHedgeable =
                    isIdempotent && latency.isLeaf() && isRunAllowed() && overdueMs < deadlineMs - loop.nowMs();
            if (isDone || !isHedgeable || hedgeTimer.isPresent()) {
                return;
            }
            hedgeTimer = Optional.of(loop.schedule(overdueMs, () -> {
                boolean isTooLate = deadlineMs - loop.nowMs() < latency.getMeanMs();
                if (isDone
                        || activeAttempts.isEmpty()
                        || isTooLate
                        || !isRunAllowed()
                        || !hasOtherFree()
                        || !tryRepeat()) {
                    return;
                }
                logRepeat("overdue", Execution.UNKNOWN);
                sendNext();
            }));
        }

        private void end() {
            isDone = true;
            hedgeTimer.ifPresent(EventLoop.Timer::cancel);
            List<Runnable> cancels = new ArrayList<>(activeAttempts.values());
            activeAttempts.clear();
            cancels.forEach(Runnable::run);
        }

        private Optional<Peer> chooseInstance() {
            PeerDirectory.Candidates candidates = peers.getCandidates(request.service());
            peers.refreshLocalLoad();
            return InstanceSelector.choose(
                    untried(candidates.sameZone()),
                    untried(candidates.otherZones()),
                    loop.nowMs(),
                    ThreadLocalRandom.current().nextLong());
        }

        private List<Peer> untried(List<Peer> candidates) {
            if (triedNodes.isEmpty()) {
                return candidates;
            }
            List<Peer> remaining = new ArrayList<>();
            for (Peer peer : candidates) {
                if (!triedNodes.contains(peer.getInfo().node())) {
                    remaining.add(peer);
                }
            }
            return remaining;
        }

        private void onAnswer(int number, Peer peer, long startMs, ForwardedAnswer answer) {
            if (isDone) {
                return;
            }
            activeAttempts.remove(number);
            if (answer.limit() > 0 && !peers.isSelf(peer)) {
                peer.getLoad().onReport(answer.limit(), answer.inFlight(), answer.upstreamFailureRatio());
            }
            peer.getLoad().onEnd(!answer.isAnswered() && isInstanceFailure(answer), loop.nowMs());
            if (answer.execution() == Execution.NOT_RUN) {
                notRunCount++;
            } else {
                mayHaveRun = true;
            }
            SendOutcome outcome = toOutcome(answer);
            hasReachedUpstream |= outcome.isLimitedByBudget();
            if (outcome == SendOutcome.SERVED) {
                latency.record(
                        (double) (loop.nowMs() - startMs), answer.slotTimesMs().size() <= 1);
            } else if (!activeAttempts.isEmpty()) {
                // Another attempt may still succeed.
                return;
            } else if (mayRepeat(outcome)) {
                logRepeat(peer.getInfo().node() + ":" + toReason(answer), answer.execution());
                sendNext();
                return;
            }
            finish(answer);
        }

        private void logRepeat(String reason, Execution execution) {
            if (log.tryAcquireRequestLine(loop.nowMs())) {
                log.info("event=request-repeated request=" + request.requestId() + " service=" + request.service()
                        + " reason=" + reason + " execution=" + execution.toText() + " attempts=" + sentCount
                        + " left-ms="
                        + (deadlineMs - loop.nowMs()));
            }
        }

        private boolean tryRepeat() {
            boolean isAllowed =
                    getBudget(request.service()).tryRepeat(peers.countNodes(), request.rank(), progress, loop.nowMs());
            if (!isAllowed) {
                metrics.count("repeats_over_budget{service=\"" + request.service() + "\"}");
            }
            return isAllowed;
        }

        private boolean mayRepeat(SendOutcome outcome) {
            if (!outcome.isRepeatable(isIdempotent, request.isNested()) || deadlineMs <= loop.nowMs() || !hasOther()) {
                return false;
            }
            if (!outcome.isLimitedByBudget()) {
                redirectCount++;
                return redirectCount <= MAX_REDIRECTS;
            }
            return isRunAllowed() && tryRepeat();
        }

        /** Returns whether the attempt limit permits a further run, counting all attempts that may have run. */
        private boolean isRunAllowed() {
            return sentCount - notRunCount < attemptLimit;
        }

        private boolean hasOther() {
            PeerDirectory.Candidates candidates = peers.getCandidates(request.service());
            return !untried(candidates.sameZone()).isEmpty()
                    || !untried(candidates.otherZones()).isEmpty();
        }

        /** Returns whether another instance has a free slot; otherwise a hedged attempt would add to the queues. */
        private boolean hasOtherFree() {
            return chooseInstance()
                    .filter(peer -> peer.getLoad().hasFreeSlot(loop.nowMs()))
                    .isPresent();
        }

        private void finish(ForwardedAnswer answer) {
            end();
            boolean isUncertain = mayHaveRun && answer.execution() == Execution.NOT_RUN;
            callback.accept(isUncertain ? ForwardedAnswer.ofFailure(Execution.UNKNOWN, answer.reason()) : answer);
        }
    }

    private static String toReason(ForwardedAnswer answer) {
        return answer.isAnswered() ? "status-" + answer.status() : answer.reason();
    }

    private static SendOutcome toOutcome(ForwardedAnswer answer) {
        if (answer.isAnswered()) {
            if (answer.status() < MIN_SERVER_ERROR_STATUS) {
                return SendOutcome.SERVED;
            }
            return answer.isNestedCallFailed() ? SendOutcome.NESTED_CALL_FAILED : SendOutcome.FAILED;
        }
        if (answer.execution() != Execution.NOT_RUN) {
            return SendOutcome.LOST;
        }
        boolean isRejected = answer.reason().equals("rejected-by-upstream")
                || answer.reason().equals("upstream-replaced");
        return isRejected ? SendOutcome.REJECTED : SendOutcome.REFUSED;
    }

    private static boolean isInstanceFailure(ForwardedAnswer answer) {
        // The gate counts requests that its upstream rejects itself, and reports them in its failure ratio.
        return !answer.reason().equals("overloaded")
                && !answer.reason().equals("rejected-by-upstream")
                && !answer.reason().equals("leaving")
                && !answer.reason().equals("wrong-service");
    }
}
