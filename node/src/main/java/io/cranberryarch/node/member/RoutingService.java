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

/** Chooses instances for calls, with one router for each service under its own lock. Thread-safe. */
public final class RoutingService {

    private static final int FIRST_SERVER_ERROR = 500;

    private final MemberService members;
    private final Clock clock;
    private final Map<String, InstanceRouter> routers = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param members the members known
     * @param clock the clock
     */
    public RoutingService(MemberService members, Clock clock) {
        this.members = members;
        this.clock = clock;
    }

    /**
     * Chooses an instance. Each choice must be followed by {@link #onEnd}.
     *
     * @param service the service
     * @param tried instances not to choose
     * @return the instance, or empty if none takes calls
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
     * Notes how an attempt ended.
     *
     * @param member the instance chosen
     * @param answer the answer, or empty if the attempt was given up
     * @param startedAtMs monotonic time of the choice in milliseconds
     */
    public void onEnd(Member member, Optional<CallResult> answer, long startedAtMs) {
        InstanceRouter router = routers.get(member.service());
        if (router == null) {
            return;
        }
        long nowMs = clock.monotonicMs();
        synchronized (router) {
            CallOutcome outcome = answer.map(RoutingService::toOutcome).orElse(CallOutcome.IRRELEVANT);
            router.onEnd(member, outcome, nowMs - startedAtMs, answer.flatMap(CallResult::load), nowMs);
        }
    }

    private static CallOutcome toOutcome(CallResult answer) {
        if (answer.refusal().isEmpty()) {
            return answer.status() < FIRST_SERVER_ERROR ? CallOutcome.ANSWERED : CallOutcome.FAILED;
        }
        RefusalReason reason = answer.refusal().get().reason();
        return switch (reason) {
            case OVERLOADED, DRAINING -> CallOutcome.OVERLOADED;
            case UPSTREAM_FAILED, DEADLINE_EXCEEDED, NO_UPSTREAM -> CallOutcome.FAILED;
            case PEER_LOST -> CallOutcome.UNREACHABLE;
            default -> CallOutcome.IRRELEVANT;
        };
    }
}
