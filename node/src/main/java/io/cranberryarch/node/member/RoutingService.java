package io.cranberryarch.node.member;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.routing.CallOutcome;
import io.cranberryarch.decision.routing.InstanceRouter;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Selects instances for calls, with a separate router and lock for each service. Thread-safe. */
public final class RoutingService {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final MemberService members;
    private final Clock clock;
    private final Map<String, InstanceRouter> routers = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param members the membership of the fleet
     * @param clock the clock
     */
    public RoutingService(MemberService members, Clock clock) {
        this.members = members;
        this.clock = clock;
    }

    /**
     * Selects an instance. Each selection must be followed by a call of {@link #onEnd}.
     *
     * @param service the service
     * @param tried the instances to exclude
     * @return the instance, or empty if none is available
     */
    public Optional<Member> choose(String service, Set<String> tried) {
        Member self = members.getSelf();
        InstanceRouter router =
                routers.computeIfAbsent(service, unused -> new InstanceRouter(self.instance(), self.zone()));
        long randomBits = ThreadLocalRandom.current().nextLong();
        synchronized (router) {
            return router.choose(members.findServing(service), tried, clock.monotonicMs(), randomBits);
        }
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param member the selected instance
     * @param result the result, or empty if the attempt was abandoned
     * @param startedAtMs the monotonic time of the selection in milliseconds
     */
    public void onEnd(Member member, Optional<CallResult> result, long startedAtMs) {
        InstanceRouter router = routers.get(member.service());
        if (router == null) {
            return;
        }
        long nowMs = clock.monotonicMs();
        synchronized (router) {
            CallOutcome outcome = result.map(RoutingService::toOutcome).orElse(CallOutcome.IRRELEVANT);
            router.onEnd(member, outcome, nowMs - startedAtMs, result.flatMap(CallResult::load), nowMs);
        }
    }

    private static CallOutcome toOutcome(CallResult result) {
        if (result.refusal().isEmpty()) {
            return result.status() < MIN_SERVER_ERROR_STATUS ? CallOutcome.ANSWERED : CallOutcome.FAILED;
        }
        RefusalReason reason = result.refusal().get().reason();
        return switch (reason) {
            case OVERLOADED, DRAINING -> CallOutcome.OVERLOADED;
            case UPSTREAM_FAILED, DEADLINE_EXCEEDED, NO_UPSTREAM -> CallOutcome.FAILED;
            case PEER_LOST -> CallOutcome.UNREACHABLE;
            default -> CallOutcome.IRRELEVANT;
        };
    }
}
