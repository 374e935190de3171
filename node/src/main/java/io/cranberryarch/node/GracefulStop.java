package io.cranberryarch.node;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.settings.Route;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Ends a node without cutting a request in progress.
 *
 * <p>The gate refuses new calls as not run from the first moment, and the fleet is told. Calls and callers' requests in
 * progress go on to their own deadlines, nested calls among them. Then peers are told to send nothing more on the open
 * connections, and what was received before is answered.
 */
final class GracefulStop {

    private static final long LEAVE_NOTICE_MS = 1_000;
    private static final long FLUSH_TIMEOUT_MS = 2_000;
    private static final long POLL_MS = 10;

    private final NodeComponent parts;
    private final Clock clock = Clock.system();

    GracefulStop(NodeComponent parts) {
        this.parts = parts;
    }

    void run() throws InterruptedException {
        parts.members().setState(MemberState.DRAINING);
        Logger.info("node-leaving in-progress={}", parts.gate().getInProgress());
        parts.httpServer().closeConnectionsAfterResponses();
        Thread.sleep(LEAVE_NOTICE_MS);
        parts.httpServer().stopAccepting();
        await(this::isIdle, toLongestTimeoutMs() + FLUSH_TIMEOUT_MS);
        parts.httpServer().refuseNewRequests();
        parts.leases().releaseAll();
        parts.members().setState(MemberState.GONE);
        if (!parts.counts().finish()) {
            Logger.warn("counts-lost increments={}", parts.counts().getPendingIncrements());
        }
        parts.network().sendGoAway();
        await(() -> isIdle() && parts.network().isIdle(), FLUSH_TIMEOUT_MS);
        parts.network().shutdownOutput();
        await(() -> !parts.network().hasConnections(), FLUSH_TIMEOUT_MS);
        Logger.info("node-stopped in-flight={}", parts.gate().getInProgress());
    }

    private boolean isIdle() {
        return parts.gate().getInProgress() == 0
                && parts.httpServer().getInProgress() == 0
                && !parts.httpServer().isAwaitingRequests();
    }

    private long toLongestTimeoutMs() {
        long longestMs = Route.DEFAULT_TIMEOUT_MS;
        for (Route route : parts.settings().getFleetSettings().getRoutes()) {
            longestMs = Math.max(longestMs, route.timeoutMs());
        }
        return longestMs;
    }

    private void await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        long endMs = clock.monotonicMs() + timeoutMs;
        while (!condition.getAsBoolean() && clock.monotonicMs() < endMs) {
            Thread.sleep(POLL_MS);
        }
    }
}
