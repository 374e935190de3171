package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.StallDetector;
import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds requests after the process did not run for some time, until the store has confirmed the rules in force. New
 * rules may have been published meanwhile, and the requests that arrived with them would be decided by outdated ones.
 */
final class StallRecovery {

    /** The maximum time for which requests are held if the store does not respond. */
    private static final long MAX_HOLD_MS = 500;

    private static final long RETRY_DELAY_MS = 100;

    private final EventLoop loop;
    private final RulesService rules;
    private final EventLog log;
    private final StallDetector stalls;
    private final List<Runnable> held = new ArrayList<>();
    private long stalledAtMs = Long.MIN_VALUE;
    private boolean isConfirming;

    StallRecovery(EventLoop loop, RulesService rules, EventLog log) {
        this.loop = loop;
        this.rules = rules;
        this.log = log;
        this.stalls = new StallDetector(loop.nowMs());
    }

    /** Starts the detection: the time that the start of the process took is no stall. */
    void start() {
        stalls.onTurn(loop.nowMs());
    }

    /** Detects that the process did not run for some time. Must be called at short intervals. */
    void check() {
        long nowMs = loop.nowMs();
        Optional<Long> stallMs = stalls.onTurn(nowMs);
        if (stallMs.isEmpty()) {
            return;
        }
        stalledAtMs = nowMs;
        log.info("event=process-stalled stall-ms=" + stallMs.get() + " version-in-force=" + rules.getVersion()
                + " store-age-ms=" + rules.getStoreAgeMs());
        loop.schedule(MAX_HOLD_MS, () -> giveUp(nowMs));
        if (!isConfirming) {
            isConfirming = true;
            confirm();
        }
    }

    /**
     * Decides on a request: at once, or once the rules are confirmed if the process has just stalled.
     *
     * @param decision the decision
     */
    void decide(Runnable decision) {
        check();
        if (isConfirming) {
            held.add(decision);
        } else {
            decision.run();
        }
    }

    /** Returns the milliseconds since the process last stalled, or empty if it has not. */
    Optional<Long> findStallAgeMs() {
        return stalledAtMs == Long.MIN_VALUE ? Optional.empty() : Optional.of(loop.nowMs() - stalledAtMs);
    }

    private void confirm() {
        if (!isConfirming) {
            return;
        }
        long confirmedStallAtMs = stalledAtMs;
        rules.refresh(SharedStore.Callback.of(
                done -> {
                    if (confirmedStallAtMs == stalledAtMs) {
                        release("store");
                    } else {
                        // The process stalled again since the store was asked.
                        confirm();
                    }
                },
                failure -> loop.schedule(RETRY_DELAY_MS, this::confirm)));
    }

    /** Decides the held requests by the rules in force, unless the process has stalled again. */
    private void giveUp(long confirmedStallAtMs) {
        if (confirmedStallAtMs == stalledAtMs) {
            release("none");
        }
    }

    private void release(String source) {
        if (!isConfirming) {
            return;
        }
        isConfirming = false;
        log.info("event=rules-confirmed source=" + source + " version-in-force=" + rules.getVersion() + " held="
                + held.size() + " took-ms=" + (loop.nowMs() - stalledAtMs));
        List<Runnable> released = new ArrayList<>(held);
        held.clear();
        released.forEach(Runnable::run);
    }
}
