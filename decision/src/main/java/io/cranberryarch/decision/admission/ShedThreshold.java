package io.cranberryarch.decision.admission;

import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the admission level from which the calls of each client account are refused.
 *
 * <p>Demand is counted by priority and client account over short windows. While calls wait too long or are refused, the
 * capacity estimate follows the rate of finished calls; otherwise it grows. Capacity is allocated to the most important
 * priority first. The first priority that exceeds the remaining capacity is divided by weight between client accounts,
 * each of which gets its own threshold: the admitted share of its request hashes equals the granted share of its
 * demand. Not thread-safe.
 *
 * <pre>
 * threshold.addArrival(call, nowMs);
 * boolean refused = call.level() &gt;= threshold.toThreshold(call.account());
 * </pre>
 */
public final class ShedThreshold {

    private static final long WINDOW_MS = 100;
    private static final long TARGET_WAIT_MS = 10;
    private static final int MAX_FLOWS = 1_000;
    private static final double SMOOTHING_RATIO = 0.2;
    private static final double SHRINK_RATIO = 0.97;
    private static final double MIN_FINISHED_RATIO = 0.9;
    private static final double MIN_GROWTH_RATIO = 0.02;
    private static final double MAX_GROWTH_RATIO = 0.16;
    private static final double MIN_ACTIVE_DEMAND = 0.01;
    private static final int HASH_LEVELS = AdmissionLevel.HASH_LEVELS;

    private record FlowKey(Priority priority, String account) {}

    /** The demand of one client account in one priority. */
    private static final class Flow {

        private double weight = 1;
        private double demand;
        private int counted;
        private int share = HASH_LEVELS;

        void endWindow() {
            if (share > 0) {
                double estimated = (double) counted * HASH_LEVELS / share;
                demand += SMOOTHING_RATIO * (estimated - demand);
            }
            counted = 0;
        }
    }

    private final Map<FlowKey, Flow> flows = new LinkedHashMap<>();
    private long windowStartMs;
    private double finished;
    private int finishedInWindow;
    private long waitSumMs;
    private int waits;
    private int refused;
    private double capacity = Double.POSITIVE_INFINITY;
    private double growth = MIN_GROWTH_RATIO;
    private int lowestPriority = Priority.values().length;

    /**
     * Creates a threshold that refuses none.
     *
     * @param nowMs monotonic time in milliseconds
     */
    public ShedThreshold(long nowMs) {
        this.windowStartMs = nowMs;
    }

    /**
     * Records the arrival of a call, whether it is refused or not.
     *
     * @param call the call, not {@code null}
     * @param nowMs monotonic time in milliseconds
     */
    public void addArrival(WaitingCall call, long nowMs) {
        rollWindow(nowMs);
        FlowKey key = new FlowKey(call.priority(), call.account());
        Flow flow = flows.get(key);
        if (flow == null) {
            if (flows.size() >= MAX_FLOWS) {
                return;
            }
            flow = new Flow();
            flows.put(key, flow);
        }
        flow.weight = call.weight();
        if (call.level() % HASH_LEVELS < flow.share) {
            flow.counted++;
        }
    }

    /**
     * Records that a call was admitted.
     *
     * @param waitedMs the time that it waited, in milliseconds
     */
    public void addStart(long waitedMs) {
        waitSumMs += waitedMs;
        waits++;
    }

    /** Records that a call below the threshold was refused because no capacity became free in time. */
    public void addRefusal() {
        refused++;
    }

    /** Records that a call ended. */
    public void addFinish() {
        finishedInWindow++;
    }

    /**
     * Returns the threshold of a client account.
     *
     * @param account the client account
     * @return the lowest level that is refused
     */
    public int toThreshold(String account) {
        Priority[] priorities = Priority.values();
        if (lowestPriority >= priorities.length) {
            return AdmissionLevel.LEVELS;
        }
        Flow flow = flows.get(new FlowKey(priorities[lowestPriority], account));
        int share = flow == null ? HASH_LEVELS : flow.share;
        return lowestPriority * HASH_LEVELS + share;
    }

    /**
     * Returns whether some levels are refused.
     *
     * @return whether demand exceeds the capacity
     */
    public boolean isShedding() {
        return lowestPriority < Priority.values().length;
    }

    /**
     * Ends the current window if it has elapsed.
     *
     * @param nowMs monotonic time in milliseconds
     */
    public void rollWindow(long nowMs) {
        long elapsedMs = nowMs - windowStartMs;
        if (elapsedMs < WINDOW_MS) {
            return;
        }
        double windows = (double) elapsedMs / WINDOW_MS;
        finished += Math.min(1, SMOOTHING_RATIO * windows) * (finishedInWindow / windows - finished);
        flows.values().forEach(Flow::endWindow);
        adjustCapacity();
        divide();
        windowStartMs = nowMs;
        finishedInWindow = 0;
        waitSumMs = 0;
        waits = 0;
        refused = 0;
    }

    private void adjustCapacity() {
        boolean isOverloaded = refused > 0 || waitSumMs > waits * TARGET_WAIT_MS;
        if (isOverloaded) {
            double shrunk = Math.min(capacity, finished) * SHRINK_RATIO;
            capacity = Math.max(finished * MIN_FINISHED_RATIO, shrunk);
            growth = MIN_GROWTH_RATIO;
        } else {
            capacity *= 1 + growth;
            growth = Math.min(MAX_GROWTH_RATIO, growth * 2);
        }
    }

    private void divide() {
        double remaining = capacity;
        lowestPriority = Priority.values().length;
        for (Priority priority : Priority.values()) {
            List<FairShare.Demand> demands = new ArrayList<>();
            for (Map.Entry<FlowKey, Flow> entry : flows.entrySet()) {
                if (entry.getKey().priority() == priority) {
                    demands.add(new FairShare.Demand(entry.getValue().demand, entry.getValue().weight));
                }
            }
            double share = FairShare.toShare(demands, remaining);
            divide(priority, share);
            if (share < Double.POSITIVE_INFINITY) {
                lowestPriority = Math.min(lowestPriority, priority.ordinal());
                remaining = 0;
            } else {
                remaining -=
                        demands.stream().mapToDouble(FairShare.Demand::amount).sum();
            }
        }
        if (lowestPriority == Priority.values().length) {
            removeIdle();
        }
    }

    private void divide(Priority priority, double share) {
        for (Map.Entry<FlowKey, Flow> entry : flows.entrySet()) {
            if (entry.getKey().priority() == priority) {
                Flow flow = entry.getValue();
                double granted = Math.min(1, share * flow.weight / Math.max(MIN_ACTIVE_DEMAND, flow.demand));
                flow.share = (int) Math.ceil(granted * HASH_LEVELS);
            }
        }
    }

    private void removeIdle() {
        flows.values().removeIf(flow -> flow.demand < MIN_ACTIVE_DEMAND);
        capacity = flows.isEmpty() ? Double.POSITIVE_INFINITY : capacity;
    }
}
