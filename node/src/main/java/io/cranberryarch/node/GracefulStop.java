package io.cranberryarch.node;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.settings.Route;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Stops a node without interrupting requests in progress.
 *
 * <p>The gate immediately refuses new calls as not run, and the node broadcasts that it is draining. Calls and callers'
 * requests in progress, including nested calls, continue until their own deadlines. Then the node notifies peers to
 * send nothing more on the open connections, and answers what it received before.
 */
final class GracefulStop {

    private static final long DRAIN_NOTICE_MS = 1_000;
    private static final long FLUSH_TIMEOUT_MS = 2_000;
    private static final long POLL_INTERVAL_MS = 10;

    private final NodeComponent component;
    private final Clock clock = Clock.system();

    GracefulStop(NodeComponent component) {
        this.component = component;
    }

    void run() throws InterruptedException {
        component.members().setState(MemberState.DRAINING);
        Logger.info("node-leaving in-progress={}", component.gate().getInProgress());
        component.httpServer().closeConnectionsAfterResponses();
        Thread.sleep(DRAIN_NOTICE_MS);
        component.httpServer().stopAccepting();
        await(this::isIdle, findLongestTimeoutMs() + FLUSH_TIMEOUT_MS);
        component.httpServer().refuseNewRequests();
        component.leases().releaseAll();
        component.members().setState(MemberState.GONE);
        if (!component.counts().finish()) {
            Logger.warn("counts-lost increments={}", component.counts().getPendingIncrements());
        }
        component.network().sendGoAway();
        await(() -> isIdle() && component.network().isIdle(), FLUSH_TIMEOUT_MS);
        component.network().shutdownOutput();
        await(() -> !component.network().hasConnections(), FLUSH_TIMEOUT_MS);
        Logger.info("node-stopped in-flight={}", component.gate().getInProgress());
    }

    private boolean isIdle() {
        return component.gate().getInProgress() == 0
                && component.httpServer().getInProgress() == 0
                && !component.httpServer().isAwaitingRequests();
    }

    private long findLongestTimeoutMs() {
        long longestMs = Route.DEFAULT_TIMEOUT_MS;
        for (Route route : component.settings().getFleetSettings().getRoutes()) {
            longestMs = Math.max(longestMs, route.timeoutMs());
        }
        return longestMs;
    }

    private void await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        long endMs = clock.monotonicMs() + timeoutMs;
        while (!condition.getAsBoolean() && clock.monotonicMs() < endMs) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
