package io.cranberryarch.experiment.rate;

import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenHolder;
import io.cranberryarch.decision.rate.TokenRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A node of the model: a holder of tokens and the calls that wait for one. */
final class RateModelNode {

    private static final long MAX_WAIT_MS = 500;

    private final RateModel model;
    private final int number;
    private final TokenHolder holder;
    private final Deque<Waiter> waiting = new ArrayDeque<>();

    RateModelNode(RateModel model, int number) {
        this.model = model;
        this.number = number;
        List<String> zones = new ArrayList<>(model.getTopology().zones());
        zones.add(0, zones.remove(model.getTopology().toZone(number)));
        this.holder = new TokenHolder(model.getLoad().name(), zones, 1);
    }

    void onCall(boolean isWithin) {
        long nowMs = model.getNowMs();
        holder.onCall(nowMs);
        if (waiting.isEmpty() && holder.trySpend(nowMs)) {
            model.onAdmitted(number, isWithin);
        } else if (holder.isWaitUseful(nowMs)) {
            waiting.add(new Waiter(isWithin, nowMs));
        } else {
            model.onRefused(number, isWithin);
        }
        advance();
    }

    void onAnswer(TokenRequest request, TokenAnswer answer) {
        holder.onAnswer(request.zone(), answer, model.getNowMs());
        advance();
    }

    void tick() {
        if (model.isDown(number)) {
            waiting.clear();
            return;
        }
        long nowMs = model.getNowMs();
        while (!waiting.isEmpty() && nowMs - waiting.peek().sinceMs() > MAX_WAIT_MS) {
            model.onRefused(number, waiting.poll().isWithin());
        }
        send(holder.settle(nowMs));
        advance();
    }

    private void advance() {
        long nowMs = model.getNowMs();
        while (!waiting.isEmpty() && holder.trySpend(nowMs)) {
            model.onAdmitted(number, waiting.poll().isWithin());
        }
        send(holder.request(waiting.size(), nowMs));
        if (holder.isWaitUseful(nowMs)) {
            return;
        }
        while (!waiting.isEmpty()) {
            model.onRefused(number, waiting.poll().isWithin());
        }
    }

    private void send(List<TokenRequest> requests) {
        for (TokenRequest request : requests) {
            model.send(number, request);
        }
    }

    /** A call that waits. */
    private record Waiter(boolean isWithin, long sinceMs) {}
}
