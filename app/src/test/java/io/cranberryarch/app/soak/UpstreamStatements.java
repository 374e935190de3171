package io.cranberryarch.app.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one upstream states about itself in its responses, and whether the nodes that have passed it on keep to it. The
 * node of a request is the one where it began. A node forgets what it has passed on when its process is stopped.
 */
final class UpstreamStatements {

    static final String LIMIT_HEADER = "Server-Limit";
    static final String LEAVING_HEADER = "Server-Leaving";

    /** The time between the first statement of a limit and the first window in which it is checked. */
    private static final long LIMIT_BINDS_AFTER_MS = 3_000;

    private static final long WINDOW_MS = 4_000;
    private static final double MAX_RATE_RATIO = 1.5;
    private static final int MAX_ADDITIONAL_REQUESTS = 5;

    /** The time after which a node that has passed on a limit is bound by it. */
    private static final long PASSED_ON_AFTER_MS = 500;

    private static final long LEAVE_BINDS_AFTER_MS = 2_000;
    private static final String SEPARATOR = "@";

    private final String upstream;
    private final Set<String> violations;
    private final Map<String, Long> limitPassedOnAtMs = new HashMap<>();
    private final Map<String, Long> leavePassedOnAtMs = new HashMap<>();
    private final Map<String, Long> disturbedAtMs = new HashMap<>();
    private final Deque<Long> boundArrivalsAtMs = new ArrayDeque<>();
    private Optional<Double> ratePerS = Optional.empty();
    private long limitNamedAtMs;
    private boolean isLeaving;

    UpstreamStatements(String upstream, Set<String> violations) {
        this.upstream = upstream;
        this.violations = violations;
    }

    /** Names a limit from now on, in requests a second, or none. */
    synchronized void setRatePerS(Optional<Double> newRatePerS) {
        limitPassedOnAtMs.clear();
        boundArrivalsAtMs.clear();
        limitNamedAtMs = System.currentTimeMillis();
        ratePerS = newRatePerS;
    }

    /** States from now on that the current incarnation leaves. */
    synchronized void leave() {
        isLeaving = true;
    }

    /** Begins another incarnation, which states nothing. */
    synchronized void reset() {
        setRatePerS(Optional.empty());
        isLeaving = false;
        leavePassedOnAtMs.clear();
    }

    synchronized Optional<Double> getRatePerS() {
        return ratePerS;
    }

    synchronized boolean isLeaving() {
        return isLeaving;
    }

    /**
     * Records that a node has passed on a response.
     *
     * @param node the name of the node
     * @param sentAtMs when the request was sent; the process that received it may have been stopped since
     * @param isLimitNamed whether the response names a limit
     * @param isLeaveStated whether the response states that the upstream leaves
     */
    synchronized void onPassedOn(String node, long sentAtMs, boolean isLimitNamed, boolean isLeaveStated) {
        long nowMs = System.currentTimeMillis();
        if (sentAtMs <= disturbedAtMs.getOrDefault(node, 0L)) {
            return;
        }
        if (isLimitNamed && ratePerS.isPresent()) {
            limitPassedOnAtMs.putIfAbsent(node, nowMs);
        }
        if (isLeaveStated && isLeaving) {
            leavePassedOnAtMs.putIfAbsent(node, nowMs);
        }
    }

    /** Records that the process of a node is stopped, or about to be started again. */
    synchronized void onNodeDisturbed(String node) {
        disturbedAtMs.put(node, System.currentTimeMillis());
        limitPassedOnAtMs.remove(node);
        leavePassedOnAtMs.remove(node);
    }

    /**
     * Returns the identifier of a request that is sent now.
     *
     * @param prefix a prefix that no other request has
     * @param node the node where the request begins
     */
    static String toRequestId(String prefix, String node) {
        return prefix + SEPARATOR + node + SEPARATOR + System.currentTimeMillis();
    }

    /** Checks a request that arrived, unless its identifier does not name its node. */
    synchronized void onArrival(String id) {
        String[] parts = id.split(SEPARATOR);
        if (parts.length < 3 || SoakUpstream.isNested(id)) {
            return;
        }
        String node = parts[1];
        long nowMs = System.currentTimeMillis();
        Long leavePassedOn = leavePassedOnAtMs.get(node);
        if (leavePassedOn != null && Long.parseLong(parts[2]) - leavePassedOn > LEAVE_BINDS_AFTER_MS) {
            violations.add(id + " arrived at " + upstream + ", which leaves, as " + node + " had passed on at "
                    + leavePassedOn);
        }
        Long limitPassedOn = limitPassedOnAtMs.get(node);
        if (ratePerS.isEmpty() || limitPassedOn == null || nowMs - limitPassedOn < PASSED_ON_AFTER_MS) {
            return;
        }
        boundArrivalsAtMs.addLast(nowMs);
        while (nowMs - boundArrivalsAtMs.peekFirst() > WINDOW_MS) {
            boundArrivalsAtMs.removeFirst();
        }
        double allowed = MAX_RATE_RATIO * ratePerS.get() * WINDOW_MS / 1_000 + MAX_ADDITIONAL_REQUESTS;
        if (nowMs - limitNamedAtMs > LIMIT_BINDS_AFTER_MS && boundArrivalsAtMs.size() > allowed) {
            violations.add(upstream + " got " + boundArrivalsAtMs.size() + " requests in 4 s, allowed " + allowed);
        }
    }
}
