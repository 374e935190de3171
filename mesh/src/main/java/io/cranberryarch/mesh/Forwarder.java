package io.cranberryarch.mesh;

import io.cranberryarch.context.Execution;
import io.cranberryarch.context.ForwardedAnswer;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.decision.serving.LatencyEstimate;
import io.cranberryarch.decision.serving.RepeatBudget;
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

/** Sends requests to an instance of their service, and to another one where that is safe and within the budget. */
final class Forwarder {

    private static final int SERVER_ERROR = 500;

    /** Instances that may refuse a request unseen before it is given up. */
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
     * Sends a request.
     *
     * @param request the request
     * @param isIdempotent whether it may run more than once
     * @param attemptLimit the most instances that it may be sent to
     * @param callback takes the outcome, once, unless the request is cancelled
     * @return gives the request up
     */
    Attempts send(
            ForwardedRequest request, boolean isIdempotent, int attemptLimit, Consumer<ForwardedAnswer> callback) {
        Attempts attempts = new Attempts(request, isIdempotent, attemptLimit, callback);
        RepeatBudget budget = getBudget(request.service());
        if (request.isRepeat()) {
            budget.onRepeatedRun(peers.countNodes(), loop.nowMs());
        } else {
            budget.onFirstSend(peers.countNodes(), loop.nowMs());
        }
        attempts.next();
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

    /** The attempts of one request, one after the other. */
    final class Attempts {

        private final ForwardedRequest request;
        private final boolean isIdempotent;
        private final int attemptLimit;
        private final Consumer<ForwardedAnswer> callback;
        private final long deadlineMs;
        private final Set<String> tried = new LinkedHashSet<>();
        private final Map<Integer, Runnable> underWay = new HashMap<>();
        private final LatencyEstimate latency;
        private Optional<EventLoop.Timer> overdue = Optional.empty();
        private int sent;
        private int notRun;
        private int redirects;
        private boolean mayHaveRun;
        private boolean isDone;

        private Attempts(
                ForwardedRequest request, boolean isIdempotent, int attemptLimit, Consumer<ForwardedAnswer> callback) {
            this.request = request;
            this.isIdempotent = isIdempotent;
            this.attemptLimit = attemptLimit;
            this.callback = callback;
            this.deadlineMs = loop.nowMs() + request.timeoutMs();
            // A nested call and a direct one of the same service differ in their work.
            String kind = request.service() + (request.isNested() ? "/nested/" : "/") + request.tree();
            this.latency = latencies.computeIfAbsent(kind, unused -> new LatencyEstimate());
        }

        /** Gives the request up; the callback is not called any more. */
        void cancel() {
            if (!isDone) {
                end();
            }
        }

        /** Tells whether an instance may have run the request. */
        boolean isMaybeRun() {
            return mayHaveRun || sent > 0;
        }

        /** Writes where the request was sent, as fields of a log line. */
        String toLogFields() {
            return " attempts=" + sent + " tried=" + (tried.isEmpty() ? "-" : String.join(",", tried));
        }

        private void next() {
            Optional<Peer> place = choose();
            if (place.isEmpty()) {
                finish(ForwardedAnswer.ofFailure(mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN, "no-instance"));
                return;
            }
            Peer peer = place.get();
            tried.add(peer.getInfo().node());
            int number = ++sent;
            metrics.count(number == 1 ? "attempts{kind=\"first\"}" : "attempts{kind=\"repeat\"}");
            long startMs = loop.nowMs();
            ForwardedRequest attempt = request.toAttempt(Math.max(1, deadlineMs - startMs), number > 1);
            underWay.put(number, () -> {});
            Runnable cancel;
            if (peers.isSelf(peer)) {
                cancel = gate.handle(attempt, answer -> onAnswer(number, peer, startMs, answer));
            } else {
                peer.getLoad().onSend();
                PeerLink link = peer.getLink().orElseThrow();
                cancel = link.forward(attempt, isIdempotent, answer -> onAnswer(number, peer, startMs, answer));
            }
            underWay.replace(number, cancel);
            watchOverdue();
        }

        /** Sends an idempotent request once more if its answer is overdue; the first answer counts. */
        private void watchOverdue() {
            long overdueMs = latency.toOverdueMs();
            // A run that makes calls of its own would make them again.
            boolean isUseful =
                    isIdempotent && latency.isLeaf() && isRunAllowed() && overdueMs < deadlineMs - loop.nowMs();
            if (isDone || !isUseful || overdue.isPresent()) {
                return;
            }
            overdue = Optional.of(loop.schedule(overdueMs, () -> {
                boolean isLate = deadlineMs - loop.nowMs() < latency.getMeanMs();
                if (isDone || underWay.isEmpty() || isLate || !isRunAllowed() || !hasOther() || !tryRepeat()) {
                    return;
                }
                logRepeat("overdue", Execution.UNKNOWN);
                next();
            }));
        }

        private void end() {
            isDone = true;
            overdue.ifPresent(EventLoop.Timer::cancel);
            List<Runnable> cancels = new ArrayList<>(underWay.values());
            underWay.clear();
            cancels.forEach(Runnable::run);
        }

        private Optional<Peer> choose() {
            PeerDirectory.Candidates candidates = peers.getCandidates(request.service());
            peers.refreshLocalLoad();
            return InstanceSelector.choose(
                    untried(candidates.sameZone()),
                    untried(candidates.otherZones()),
                    loop.nowMs(),
                    ThreadLocalRandom.current().nextLong());
        }

        private List<Peer> untried(List<Peer> candidates) {
            if (tried.isEmpty()) {
                return candidates;
            }
            List<Peer> left = new ArrayList<>();
            for (Peer place : candidates) {
                if (!tried.contains(place.getInfo().node())) {
                    left.add(place);
                }
            }
            return left;
        }

        private void onAnswer(int number, Peer peer, long startMs, ForwardedAnswer answer) {
            if (isDone) {
                return;
            }
            underWay.remove(number);
            if (answer.limit() > 0 && !peers.isSelf(peer)) {
                peer.getLoad().onReport(answer.limit(), answer.busy(), answer.failing());
            }
            peer.getLoad().onEnd(!answer.isAnswered() && isInstanceFailure(answer), loop.nowMs());
            if (answer.execution() == Execution.NOT_RUN) {
                notRun++;
            } else {
                mayHaveRun = true;
            }
            if (answer.isAnswered() && answer.status() < SERVER_ERROR) {
                latency.record(
                        (double) (loop.nowMs() - startMs), answer.usedMs().size() <= 1);
            } else if (!underWay.isEmpty()) {
                // Another attempt may still succeed.
                return;
            } else if (mayRepeat(answer)) {
                logRepeat(peer.getInfo().node() + ":" + toReason(answer), answer.execution());
                next();
                return;
            }
            finish(answer);
        }

        private void logRepeat(String reason, Execution execution) {
            if (log.tryAcquireRequestLine(loop.nowMs())) {
                log.info("event=request-repeated request=" + request.requestId() + " service=" + request.service()
                        + " reason=" + reason + " execution=" + execution.toText() + " attempts=" + sent + " left-ms="
                        + (deadlineMs - loop.nowMs()));
            }
        }

        private boolean tryRepeat() {
            boolean isAllowed =
                    getBudget(request.service()).tryRepeat(peers.countNodes(), request.rank(), loop.nowMs());
            if (!isAllowed) {
                metrics.count("repeats_over_budget{service=\"" + request.service() + "\"}");
            }
            return isAllowed;
        }

        private boolean mayRepeat(ForwardedAnswer answer) {
            boolean isSuccess = answer.isAnswered() && answer.status() < SERVER_ERROR;
            boolean isSafe = isIdempotent || answer.execution() == Execution.NOT_RUN;
            if (isSuccess || !isSafe || deadlineMs <= loop.nowMs() || !hasOther()) {
                return false;
            }
            if (answer.isAnswered() && !request.isNested()) {
                // A failed run at the root of a tree cost its whole tree; the caller decides whether to repeat it.
                return false;
            }
            if (isUnseenByUpstream(answer)) {
                redirects++;
                return redirects <= MAX_REDIRECTS;
            }
            return isRunAllowed() && tryRepeat();
        }

        /** Tells whether a further instance may run the request, besides those that may have. */
        private boolean isRunAllowed() {
            return sent - notRun < attemptLimit;
        }

        private boolean hasOther() {
            PeerDirectory.Candidates candidates = peers.getCandidates(request.service());
            return !untried(candidates.sameZone()).isEmpty()
                    || !untried(candidates.otherZones()).isEmpty();
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

    /** Tells whether a refusal was decided before the upstream got the request. */
    private static boolean isUnseenByUpstream(ForwardedAnswer answer) {
        return answer.execution() == Execution.NOT_RUN
                && !answer.reason().equals("rejected-by-upstream")
                && !answer.reason().equals("upstream-replaced");
    }

    private static boolean isInstanceFailure(ForwardedAnswer answer) {
        // The gate itself counts what its upstream rejects, and reports a lower limit for it.
        return !answer.reason().equals("overloaded")
                && !answer.reason().equals("rejected-by-upstream")
                && !answer.reason().equals("leaving")
                && !answer.reason().equals("wrong-service");
    }
}
