package io.cranberryarch.experiment.serving;

import io.cranberryarch.decision.serving.LoadShedding;
import io.cranberryarch.decision.serving.OverloadDetector;
import io.cranberryarch.decision.serving.SendOutcome;
import io.cranberryarch.experiment.serving.ServingScenario.RequestSpec;
import java.util.List;
import java.util.Optional;

/** The callers: they send requests at random times to random nodes, and again as their kind allows. */
final class ModelCallers {

    private static final double MS_PER_S = 1_000;

    /** The part of their remaining time that callers wait at most when told to come back later. */
    private static final double MAX_WAIT_RATIO = 1.0 / 3;

    private final ModelFleet fleet;
    private final List<Integer> ranks;
    private long lastFingerprint;

    ModelCallers(ModelFleet fleet) {
        this.fleet = fleet;
        this.ranks = fleet.getScenario().toRanks();
    }

    void start() {
        fleet.getScenario().toCallerRequests().forEach(this::scheduleArrival);
    }

    private void scheduleArrival(RequestSpec spec) {
        double factor = fleet.toCallerFaultStrength(FaultKind.BURST, 1);
        fleet.afterMs(fleet.drawExponentialMs(MS_PER_S / (spec.perS() * factor)), () -> {
            new Caller(spec).send();
            scheduleArrival(spec);
        });
    }

    /** One request of a caller, with the attempts that the caller makes. */
    private final class Caller {

        private final RequestSpec spec;
        private final long startMs;
        private final long fingerprint = ++lastFingerprint;
        private int retriesLeft;

        private Caller(RequestSpec spec) {
            this.spec = spec;
            this.startMs = fleet.nowMs();
            this.retriesLeft = spec.retries();
            if (fleet.toCallerFaultStrength(FaultKind.RETRY_STORM, 0) > 0) {
                retriesLeft += (int) fleet.toCallerFaultStrength(FaultKind.RETRY_STORM, 0);
            }
            fleet.getResults().recordOwed(spec, startMs);
        }

        private void send() {
            List<ModelNode> nodes = fleet.getNodes();
            ModelNode entry = nodes.get((int) (fleet.draw() * nodes.size()));
            fleet.afterMs(fleet.getScenario().fleet().callerDelayMs(), () -> enter(entry));
        }

        private void enter(ModelNode entry) {
            long nowMs = fleet.nowMs();
            boolean isReturning = fleet.uses(Mechanism.RETURNING_FIRST)
                    && entry.getRetryAfterTracker().consumeHonoredRefusal(fingerprint, nowMs);
            OverloadDetector.Tree tree =
                    new OverloadDetector.Tree(spec.name(), spec.service(), spec.rank(), isReturning);
            Optional<OverloadDetector.Overload> overload =
                    entry.getDetector().findOverload(tree, ranks, fleet.draw(), nowMs);
            if (overload.filter(this::isApplied).isPresent()) {
                long retryAfterMs = drawRetryAfterMs();
                entry.getRetryAfterTracker().onRefused(fingerprint, nowMs, nowMs + retryAfterMs);
                onRefused(retryAfterMs);
                return;
            }
            ModelRequest request =
                    new ModelRequest(spec, spec.name(), spec.rank(), false, false, startMs + spec.timeoutMs());
            new ModelSend(entry, request, 1, answer -> onAnswer(entry, answer)).start();
        }

        private boolean isApplied(OverloadDetector.Overload overload) {
            return fleet.uses(overload.isByDemand() ? Mechanism.DEMAND_SHEDDING : Mechanism.LOAD_SHEDDING);
        }

        private long drawRetryAfterMs() {
            return LoadShedding.toRetryAfterMs(fleet.draw());
        }

        private void onAnswer(ModelNode entry, ModelAnswer answer) {
            if (!answer.slotTimesMs().isEmpty()) {
                entry.getCosts().record(spec.name(), answer.slotTimesMs());
            }
            if (answer.outcome() == SendOutcome.SERVED) {
                long tookMs = fleet.nowMs()
                        - startMs
                        + Math.round(fleet.getScenario().fleet().callerDelayMs());
                fleet.getResults().recordServed(spec, startMs, tookMs);
            } else if (answer.outcome().isNotRun()) {
                onRefused(drawRetryAfterMs());
            } else {
                fleet.getResults().recordFailed(spec, startMs, answer.slotTimesMs());
                retry(0, spec.isIdempotent());
            }
        }

        private void onRefused(long retryAfterMs) {
            fleet.getResults().recordRefused(spec);
            long leftMs = startMs + spec.timeoutMs() - fleet.nowMs();
            retry(Math.min((double) retryAfterMs, MAX_WAIT_RATIO * leftMs), true);
        }

        private void retry(double delayMs, boolean isSafe) {
            if (isSafe && retriesLeft > 0 && fleet.nowMs() + delayMs < startMs + spec.timeoutMs()) {
                retriesLeft--;
                fleet.afterMs(delayMs, this::send);
            }
        }
    }
}
