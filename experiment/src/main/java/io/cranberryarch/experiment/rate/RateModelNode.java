package io.cranberryarch.experiment.rate;

import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenHolder;
import io.cranberryarch.decision.rate.TokenRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A node of the model, with its token holder and the calls that wait for a token. */
final class RateModelNode {

    private static final long MAX_WAIT_MS = 500;

    private final RateModel model;
    private final int index;
    private final TokenHolder holder;
    private final Deque<WaitingCall> waiting = new ArrayDeque<>();

    RateModelNode(RateModel model, int index) {
        this.model = model;
        this.index = index;
        List<String> zones = new ArrayList<>(model.getTopology().zones());
        zones.add(0, zones.remove(model.getTopology().toZone(index)));
        this.holder = new TokenHolder(model.getLoad().name(), zones, 1);
    }

    void onCall(boolean isWithinRate) {
        long nowMs = model.getNowMs();
        holder.onCall(nowMs);
        if (waiting.isEmpty() && holder.trySpend(nowMs)) {
            model.onAdmitted(index, isWithinRate);
        } else if (holder.isWaitUseful(nowMs)) {
            waiting.add(new WaitingCall(isWithinRate, nowMs));
        } else {
            model.onRefused(index, isWithinRate);
        }
        processWaiting();
    }

    void onAnswer(TokenRequest request, TokenAnswer answer) {
        holder.onAnswer(request.zone(), answer, model.getNowMs());
        processWaiting();
    }

    void tick() {
        if (model.isDown(index)) {
            waiting.clear();
            return;
        }
        long nowMs = model.getNowMs();
        while (!waiting.isEmpty() && nowMs - waiting.peek().sinceMs() > MAX_WAIT_MS) {
            model.onRefused(index, waiting.poll().isWithinRate());
        }
        send(holder.settle(nowMs));
        processWaiting();
    }

    private void processWaiting() {
        long nowMs = model.getNowMs();
        while (!waiting.isEmpty() && holder.trySpend(nowMs)) {
            model.onAdmitted(index, waiting.poll().isWithinRate());
        }
        send(holder.request(waiting.size(), nowMs));
        if (holder.isWaitUseful(nowMs)) {
            return;
        }
        while (!waiting.isEmpty()) {
            model.onRefused(index, waiting.poll().isWithinRate());
        }
    }

    private void send(List<TokenRequest> requests) {
        for (TokenRequest request : requests) {
            model.send(index, request);
        }
    }

    /** A call that waits for a token. */
    private record WaitingCall(boolean isWithinRate, long sinceMs) {}
}
