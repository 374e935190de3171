package io.cranberryarch.experiment.serving;

import io.cranberryarch.decision.serving.RepeatBudget;
import io.cranberryarch.decision.serving.SendOutcome;
import io.cranberryarch.experiment.serving.ServingScenario.CallSpec;
import io.cranberryarch.experiment.serving.ServingScenario.RequestSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** A request at the node of the instance that runs it: waits for a slot, works, and makes its nested calls in turn. */
final class ModelRun {

    /** The time that an instance takes to reject a request. */
    private static final double REJECT_MS = 1;

    /** The relative spread of the work of a request, uniform on both sides. */
    private static final double WORK_SPREAD = 0.4;

    private final ModelNode node;
    private final ModelRequest request;
    private final Consumer<ModelAnswer> callback;
    private final Map<String, Double> slotTimesMs = new HashMap<>();
    private final List<String> remainingCalls = new ArrayList<>();
    private Optional<ModelSend> activeCall = Optional.empty();
    private long startedAtMs;
    private int servedCalls;
    private boolean isDone;

    ModelRun(ModelNode node, ModelRequest request, Consumer<ModelAnswer> callback) {
        this.node = node;
        this.request = request;
        this.callback = callback;
        for (CallSpec call : request.spec().calls()) {
            for (int i = 0; i < call.times(); i++) {
                remainingCalls.add(call.request());
            }
        }
    }

    void arrive() {
        ModelFleet fleet = node.getFleet();
        int rank = fleet.uses(Mechanism.RANK_QUEUE) ? request.rank() : 0;
        switch (node.getScheduler().offer(this, rank, request.deadlineMs(), node.getLimit(), fleet.nowMs())) {
            case START -> start();
            case WAIT -> fleet.atMs(request.deadlineMs(), this::expire);
            default -> finish(ModelAnswer.of(SendOutcome.REFUSED));
        }
    }

    /** Refuses the requests that can no longer end in time. */
    static void refuseExpired(ModelNode node) {
        for (ModelRun run : node.getScheduler().removeExpired(node.getFleet().nowMs())) {
            run.finish(ModelAnswer.of(SendOutcome.REFUSED));
        }
    }

    private void start() {
        ModelFleet fleet = node.getFleet();
        startedAtMs = fleet.nowMs();
        fleet.getResults().recordArrival(request, fleet.nowMs());
        fleet.atMs(request.deadlineMs(), this::expire);
        if (fleet.draw() < fleet.toFaultStrength(FaultKind.REJECT, node, 0)) {
            fleet.afterMs(REJECT_MS, () -> {
                node.recordOutcome(true);
                end(ModelAnswer.of(SendOutcome.REJECTED));
            });
            return;
        }
        double spread = 1 + WORK_SPREAD * (2 * fleet.draw() - 1);
        double slowdown = fleet.toFaultStrength(FaultKind.SLOW, node, 1);
        fleet.afterMs(request.spec().workMs() * spread * slowdown / node.getSpeed(), this::callNext);
    }

    private void callNext() {
        if (isDone) {
            return;
        }
        if (remainingCalls.isEmpty()) {
            answer(SendOutcome.SERVED);
            return;
        }
        ModelFleet fleet = node.getFleet();
        RequestSpec call = fleet.getScenario().requests().get(remainingCalls.remove(remainingCalls.size() - 1));
        ModelRequest nested = request.toNested(call, fleet.nowMs());
        ModelSend send = new ModelSend(node, nested, RepeatBudget.toProgress(servedCalls), this::onNestedAnswer);
        activeCall = Optional.of(send);
        send.start();
    }

    private void onNestedAnswer(ModelAnswer answer) {
        if (isDone) {
            return;
        }
        answer.slotTimesMs().forEach((service, ms) -> slotTimesMs.merge(service, ms, Double::sum));
        if (answer.outcome() == SendOutcome.SERVED) {
            servedCalls++;
            callNext();
            return;
        }
        boolean isFinal = node.getFleet().uses(Mechanism.FINAL_CALL_FAILURES);
        answer(isFinal ? SendOutcome.NESTED_CALL_FAILED : SendOutcome.FAILED);
    }

    private void answer(SendOutcome outcome) {
        ModelFleet fleet = node.getFleet();
        double tookMs = fleet.nowMs() - startedAtMs;
        node.getScheduler().recordDuration(tookMs);
        slotTimesMs.merge(request.spec().service(), tookMs, Double::sum);
        boolean isLost = fleet.draw() < fleet.toFaultStrength(FaultKind.LOSE_ANSWERS, node, 0);
        node.recordOutcome(isLost);
        end(isLost ? ModelAnswer.of(SendOutcome.LOST) : new ModelAnswer(outcome, slotTimesMs));
    }

    private void expire() {
        if (!isDone) {
            boolean wasWaiting = node.getScheduler().removeWaiting(this);
            end(ModelAnswer.of(wasWaiting ? SendOutcome.REFUSED : SendOutcome.LOST));
        }
    }

    /** Ends the run without an answer, as nobody waits for it any more. */
    void cancel() {
        if (!isDone) {
            node.getScheduler().removeWaiting(this);
            release();
        }
    }

    private void end(ModelAnswer answer) {
        if (!isDone) {
            release();
            callback.accept(answer);
        }
    }

    private void finish(ModelAnswer answer) {
        isDone = true;
        callback.accept(answer);
    }

    private void release() {
        isDone = true;
        activeCall.ifPresent(ModelSend::cancel);
        node.getScheduler().release(this);
        node.getScheduler().pollNext(node.getLimit(), node.getFleet().nowMs()).ifPresent(ModelRun::start);
    }
}
