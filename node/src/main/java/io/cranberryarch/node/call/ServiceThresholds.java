package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.decision.admission.AdmissionLevel;
import io.cranberryarch.decision.admission.CallerThresholds;
import java.util.ArrayList;
import java.util.List;

/** The admission thresholds of the services that this node calls, in shards with one lock each. Thread-safe. */
final class ServiceThresholds {

    private static final int SHARDS = 16;

    private final Clock clock;
    private final List<CallerThresholds> shards = new ArrayList<>();

    ServiceThresholds(Clock clock) {
        this.clock = clock;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new CallerThresholds());
        }
    }

    /** Gets the current admission threshold for a call. */
    int getThreshold(CallRequest call) {
        CallerThresholds.Key key = toKey(call);
        CallerThresholds shard = toShard(key);
        synchronized (shard) {
            return shard.toThreshold(key, clock.monotonicMs());
        }
    }

    /** Checks whether a threshold refuses a call. */
    static boolean isRefused(CallRequest call, int threshold) {
        int level = AdmissionLevel.of(call.context().priority(), call.context().requestId());
        return AdmissionLevel.isRefused(level, threshold, call.context().depth() > 0);
    }

    /** Records the threshold that a result reported. */
    void recordThreshold(CallRequest call, int threshold) {
        CallerThresholds.Key key = toKey(call);
        CallerThresholds shard = toShard(key);
        synchronized (shard) {
            shard.update(key, threshold, clock.monotonicMs());
        }
    }

    private CallerThresholds toShard(CallerThresholds.Key key) {
        return shards.get(Math.floorMod(key.hashCode(), SHARDS));
    }

    private static CallerThresholds.Key toKey(CallRequest call) {
        return new CallerThresholds.Key(
                call.service(), call.context().kind(), call.context().account());
    }
}
