package io.cranberryarch.experiment.serving;

import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.decision.serving.LatencyEstimate;
import io.cranberryarch.decision.serving.RepeatBudget;
import io.cranberryarch.decision.serving.SendOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The sends of one request from the node that received it, with repeats and hedged attempts. */
final class ModelSend {

    private static final int MAX_REDIRECTS = 3;

    private final double progress;
    private final ModelNode node;
    private final ModelFleet fleet;
    private final ModelRequest request;
    private final Consumer<ModelAnswer> callback;
    private final LatencyEstimate latency;
    private final List<ModelNode> tried = new ArrayList<>();
    private final Map<Integer, ModelRun> active = new HashMap<>();
    private boolean isHedgeScheduled;
    private boolean isDone;
    private boolean hasReachedUpstream;
    private int sentCount;
    private int notRunCount;
    private int redirectCount;

    ModelSend(ModelNode node, ModelRequest request, double progress, Consumer<ModelAnswer> callback) {
        this.progress = progress;
        this.node = node;
        this.fleet = node.getFleet();
        this.request = request;
        this.callback = callback;
        this.latency = node.getLatency(request);
    }

    void start() {
        RepeatBudget budget = node.getBudget(request.spec().service());
        int nodes = fleet.getNodes().size();
        if (request.isRepeat()) {
            budget.onSendInRepeatedRun(nodes, fleet.nowMs());
        } else {
            budget.onFirstSend(nodes, fleet.nowMs());
            fleet.getResults().recordFirstSend(request.spec().service(), fleet.nowMs());
        }
        sendNext();
    }

    void cancel() {
        isDone = true;
        active.values().forEach(ModelRun::cancel);
        active.clear();
    }

    private void sendNext() {
        Optional<ModelNode.Candidate> chosen = chooseInstance();
        if (chosen.isEmpty()) {
            finish(ModelAnswer.of(SendOutcome.REFUSED));
            return;
        }
        ModelNode target = chosen.get().getNode();
        tried.add(target);
        int number = ++sentCount;
        long startMs = fleet.nowMs();
        chosen.get().getLoad().onSend();
        double delayMs = fleet.toDelayMs(node, target);
        ModelRun run = new ModelRun(
                target,
                request.toAttempt(hasReachedUpstream || !active.isEmpty()),
                answer -> fleet.afterMs(delayMs, () -> onAnswer(number, chosen.get(), startMs, answer)));
        active.put(number, run);
        fleet.afterMs(delayMs, run::arrive);
        scheduleHedgedAttempt();
    }

    private void scheduleHedgedAttempt() {
        long overdueMs = latency.toOverdueMs();
        boolean isHedgeable = fleet.uses(Mechanism.HEDGING)
                && request.spec().isIdempotent()
                && latency.isLeaf()
                && isRunAllowed()
                && overdueMs < request.deadlineMs() - fleet.nowMs();
        if (isDone || isHedgeScheduled || !isHedgeable) {
            return;
        }
        isHedgeScheduled = true;
        fleet.atMs(fleet.nowMs() + overdueMs, () -> {
            boolean isTooLate = request.deadlineMs() - fleet.nowMs() < latency.getMeanMs();
            if (!isDone && !active.isEmpty() && !isTooLate && isRunAllowed() && hasOtherFree() && tryRepeat()) {
                sendNext();
            }
        });
    }

    private void onAnswer(int number, ModelNode.Candidate target, long startMs, ModelAnswer answer) {
        if (isDone) {
            return;
        }
        active.remove(number);
        ModelNode instance = target.getNode();
        target.getLoad().onReport(instance.getLimit(), instance.countInFlight(), instance.getFailureRatio());
        SendOutcome outcome = answer.outcome();
        target.getLoad().onEnd(outcome == SendOutcome.LOST && fleet.uses(Mechanism.FAILURE_RATIO), fleet.nowMs());
        hasReachedUpstream |= outcome.isLimitedByBudget();
        notRunCount += outcome.isNotRun() ? 1 : 0;
        if (outcome == SendOutcome.SERVED) {
            latency.record(
                    (double) (fleet.nowMs() - startMs), answer.slotTimesMs().size() <= 1);
        } else if (!active.isEmpty()) {
            return;
        } else if (mayRepeat(outcome)) {
            sendNext();
            return;
        }
        finish(answer);
    }

    private boolean mayRepeat(SendOutcome outcome) {
        boolean isRepeatable = outcome.isRepeatable(request.spec().isIdempotent(), request.isNested());
        if (!isRepeatable || request.deadlineMs() <= fleet.nowMs() || !hasOther()) {
            return false;
        }
        if (!outcome.isLimitedByBudget()) {
            redirectCount++;
            return redirectCount <= MAX_REDIRECTS;
        }
        return isRunAllowed() && tryRepeat();
    }

    private boolean tryRepeat() {
        int rank = fleet.uses(Mechanism.RANK_RESERVE) ? request.rank() : 0;
        double effectiveProgress = fleet.uses(Mechanism.PROGRESS_RESERVE) ? progress : 1;
        return fleet.uses(Mechanism.REPEATS)
                && node.getBudget(request.spec().service())
                        .tryRepeat(fleet.getNodes().size(), rank, effectiveProgress, fleet.nowMs());
    }

    private boolean isRunAllowed() {
        return sentCount - notRunCount < request.spec().attemptLimit();
    }

    private boolean hasOther() {
        String service = request.spec().service();
        return !node.findCandidates(service, true, tried).isEmpty()
                || !node.findCandidates(service, false, tried).isEmpty();
    }

    private boolean hasOtherFree() {
        return chooseInstance()
                .filter(candidate -> candidate.getLoad().hasFreeSlot(fleet.nowMs()))
                .isPresent();
    }

    private Optional<ModelNode.Candidate> chooseInstance() {
        String service = request.spec().service();
        return InstanceSelector.choose(
                node.findCandidates(service, true, tried),
                node.findCandidates(service, false, tried),
                fleet.nowMs(),
                fleet.nextBits());
    }

    private void finish(ModelAnswer answer) {
        cancel();
        callback.accept(answer);
    }
}
