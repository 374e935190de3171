package io.cranberryarch.node.call;

import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Digests;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.IssuedKey;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.TimeOrderedKey;
import io.cranberryarch.decision.lease.HeldLease;
import io.cranberryarch.decision.lease.LeaseHolder;
import io.cranberryarch.decision.lease.LeaseOrigin;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.once.FirstUsePolicy;
import io.cranberryarch.decision.once.KeyAction;
import io.cranberryarch.decision.once.KeySlots;
import io.cranberryarch.decision.once.SlotOwnership;
import io.cranberryarch.decision.routing.InstanceSelector;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.node.lease.LeaseService;
import io.cranberryarch.node.member.MemberService;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Issues idempotency keys, finds the only node that may run the call with a key, and holds the key slots of this node.
 *
 * <p>Thread-safe.
 */
public final class IdempotencyKeyService {

    /** The maximum number of keys issued per request. */
    public static final int MAX_KEYS_PER_REQUEST = 100;

    private static final int NONCE_BYTES = 8;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long MEMBERSHIP_SETTLE_MS = 2_000;
    private static final long CONTEND_INTERVAL_MS = 500;

    private final NodeIdentity identity;
    private final byte[] secret;
    private final Clock clock;
    private final MemberService members;
    private final LeaseService leases;

    /**
     * Creates the service.
     *
     * @param identity the identity of this node
     * @param secret the secret of the fleet
     * @param clock the clock
     * @param members the membership of the fleet
     * @param leases the leases of this node
     */
    public IdempotencyKeyService(
            NodeIdentity identity, String secret, Clock clock, MemberService members, LeaseService leases) {
        this.identity = identity;
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        this.clock = clock;
        this.members = members;
        this.leases = leases;
    }

    /**
     * Starts to contend for the slots for which this node ranks first, after a delay in which the membership settles.
     *
     * @param timer schedules the contention
     */
    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(
                this::contendForSlots, MEMBERSHIP_SETTLE_MS, CONTEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Issues keys, all for one instance.
     *
     * @param service the service whose upstream will run the requests
     * @param account the client account that may use the keys
     * @param count the number of keys, from 1 to {@link #MAX_KEYS_PER_REQUEST}
     * @return the keys, empty if no upstream of the service is reachable
     */
    public List<String> issue(String service, String account, int count) {
        long randomBits = ThreadLocalRandom.current().nextLong();
        Optional<Member> member =
                InstanceSelector.pick(members.findServing(service), identity.zone(), Set.of(), unused -> 0, randomBits);
        List<String> keys = new ArrayList<>();
        if (member.isEmpty()) {
            return keys;
        }
        for (int i = 0; i < count; i++) {
            IssuedKey key = new IssuedKey(
                    service,
                    member.get().instance(),
                    member.get().incarnation(),
                    clock.wallMs(),
                    Digests.randomHex(NONCE_BYTES));
            keys.add(key.toText(secret, account));
        }
        return keys;
    }

    /**
     * Checks the key of a call.
     *
     * @param call the call
     * @return a refusal if the key has the form of an issued key but was not issued for this account and service
     */
    Optional<Refusal> check(CallRequest call) {
        Optional<String> text = call.context().idempotencyKey().filter(IssuedKey::isIssued);
        if (text.isEmpty() || parseIssuedKey(call).isPresent()) {
            return Optional.empty();
        }
        return Optional.of(Refusal.ofNotRun(RefusalReason.BAD_REQUEST, 0));
    }

    /**
     * Finds the only node that may run a call with a key.
     *
     * @param call the call, with a key that {@link #check} accepted
     * @param owner the key owner reported by another node, or empty
     * @return the member, or empty if it is gone or unknown to this node
     */
    Optional<Member> findTarget(CallRequest call, Optional<String> owner) {
        Optional<IssuedKey> issued = parseIssuedKey(call);
        if (issued.isPresent()) {
            return findMember(issued.get().instance())
                    .filter(member -> member.incarnation() == issued.get().incarnation());
        }
        if (owner.isPresent()) {
            return findMember(owner.get());
        }
        return KeySlots.pick(members.findServing(call.service()), toSlot(call));
    }

    /**
     * Creates the refusal of a call for which {@link #findTarget} found no member.
     *
     * @param call the call, with a key
     * @return the refusal of this attempt, without a retry delay if the key can never run again
     */
    Refusal toUnreachableRefusal(CallRequest call) {
        return parseIssuedKey(call).isPresent()
                ? Refusal.ofNotRun(RefusalReason.IDEMPOTENCY_UNKNOWN, 0)
                : Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS);
    }

    /**
     * Decides whether a call whose key is new may run on this node.
     *
     * @param call the call, with a key
     * @return the decision
     */
    KeyAction decideFirstUse(CallRequest call) {
        Optional<IssuedKey> issued = parseIssuedKey(call);
        if (issued.isPresent()) {
            return FirstUsePolicy.decideIssuedKey(
                    issued.get(), identity.instance(), identity.incarnation(), clock.wallMs());
        }
        long nowMs = clock.monotonicMs();
        long wallMs = clock.wallMs();
        Optional<SlotOwnership> ownership = leases.find(toSlot(call)).map(lease -> toOwnership(lease, nowMs, wallMs));
        return FirstUsePolicy.decideCallerKey(
                toCreatedAtMs(call), call.context().isFirstAttempt(), ownership, nowMs, wallMs);
    }

    /**
     * Gets the creation time of the key of a call.
     *
     * @param call the call, with a key
     * @return the time of day in milliseconds, or empty if the key does not contain it
     */
    OptionalLong toCreatedAtMs(CallRequest call) {
        Optional<IssuedKey> issued = parseIssuedKey(call);
        if (issued.isPresent()) {
            return OptionalLong.of(issued.get().issuedAtMs());
        }
        return call.context()
                .idempotencyKey()
                .map(TimeOrderedKey::toCreatedAtMs)
                .orElseGet(OptionalLong::empty);
    }

    /**
     * Finds the owner of the slot of a call's key, as last read by this node.
     *
     * @param call the call, with a key
     * @return the name of the instance, or empty if unknown
     */
    Optional<String> findOwner(CallRequest call) {
        return leases.findHolder(toSlot(call)).map(LeaseHolder::instance);
    }

    private Optional<IssuedKey> parseIssuedKey(CallRequest call) {
        return call.context()
                .idempotencyKey()
                .flatMap(text -> IssuedKey.parse(secret, call.context().account(), text))
                .filter(key -> key.service().equals(call.service()));
    }

    private Optional<Member> findMember(String instance) {
        for (Member member : members.getMembers()) {
            if (member.instance().equals(instance)) {
                return Optional.of(member).filter(candidate -> candidate.state() != MemberState.GONE);
            }
        }
        return Optional.empty();
    }

    private void contendForSlots() {
        try {
            if (!members.getSelf().state().isServing()) {
                return;
            }
            List<Member> candidates = members.findServing(identity.service());
            for (int i = 0; i < KeySlots.COUNT; i++) {
                String slot = KeySlots.toSlot(identity.service(), i);
                if (KeySlots.pick(candidates, slot).filter(members::isSelf).isPresent()) {
                    leases.contendFor(slot);
                }
            }
        } catch (RuntimeException e) {
            Logger.error(e, "slots-failed");
        }
    }

    private static String toSlot(CallRequest call) {
        return KeySlots.toSlot(call.service(), call.context().toAtMostOnceKey().orElse(""));
    }

    private static SlotOwnership toOwnership(HeldLease lease, long nowMs, long wallMs) {
        long heldMs = nowMs - lease.acquiredAtMs();
        return new SlotOwnership(lease.origin() == LeaseOrigin.FIRST, lease.acquiredAtMs(), wallMs - heldMs);
    }
}
