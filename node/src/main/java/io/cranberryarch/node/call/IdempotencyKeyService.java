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
 * Issues idempotency keys, finds the one node that may run the call under a key, and keeps the slots of this node.
 *
 * <p>Thread-safe.
 */
public final class IdempotencyKeyService {

    /** The greatest number of keys issued at once. */
    public static final int MAX_KEYS_PER_REQUEST = 100;

    private static final int NONCE_BYTES = 8;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long SETTLE_MS = 2_000;
    private static final long TICK_MS = 500;

    private final NodeIdentity identity;
    private final byte[] secret;
    private final Clock clock;
    private final MemberService members;
    private final LeaseService leases;

    /**
     * Creates the service.
     *
     * @param identity who this node is
     * @param secret the secret of the fleet
     * @param clock the clock
     * @param members the members known
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
     * Starts to contend for the slots for which this node ranks first, once the members known have settled.
     *
     * @param timer runs it
     */
    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::contend, SETTLE_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Issues keys, all for one instance.
     *
     * @param service the service whose upstream will run the requests
     * @param account the client account that may use the keys
     * @param count how many, from 1 to {@link #MAX_KEYS_PER_REQUEST}
     * @return the keys, or none if no upstream of the service can be reached
     */
    public List<String> issue(String service, String account, int count) {
        long randomBits = ThreadLocalRandom.current().nextLong();
        Optional<Member> member =
                InstanceSelector.pick(members.findServing(service), identity.zone(), Set.of(), any -> 0, randomBits);
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
                    Digests.ofRandomHex(NONCE_BYTES));
            keys.add(key.toText(secret, account));
        }
        return keys;
    }

    /**
     * Checks the key of a call.
     *
     * @param call the call
     * @return a refusal if the key claims to be issued but was not issued for this account and service
     */
    Optional<Refusal> check(CallRequest call) {
        Optional<String> text = call.context().idempotencyKey().filter(IssuedKey::isIssued);
        if (text.isEmpty() || toIssued(call).isPresent()) {
            return Optional.empty();
        }
        return Optional.of(Refusal.ofNotRun(RefusalReason.BAD_REQUEST, 0));
    }

    /**
     * Finds the one node that may run a call with a key.
     *
     * @param call the call, checked, with a key
     * @param owner the owner that another node named, or empty
     * @return the member, or empty if it is gone or not known here
     */
    Optional<Member> findTarget(CallRequest call, Optional<String> owner) {
        Optional<IssuedKey> issued = toIssued(call);
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
     * Refuses a call for which {@link #findTarget} found no member.
     *
     * @param call the call, with a key
     * @return the refusal of this attempt, without a time to come back if the key can never run any more
     */
    Refusal toUnreachable(CallRequest call) {
        return toIssued(call).isPresent()
                ? Refusal.ofNotRun(RefusalReason.IDEMPOTENCY_UNKNOWN, 0)
                : Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS);
    }

    /**
     * Decides whether the call may run here if its key is new.
     *
     * @param call the call, with a key
     * @return the decision
     */
    KeyAction toFirstUse(CallRequest call) {
        Optional<IssuedKey> issued = toIssued(call);
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
     * @return time of day in milliseconds, or empty if the key does not tell
     */
    OptionalLong toCreatedAtMs(CallRequest call) {
        Optional<IssuedKey> issued = toIssued(call);
        if (issued.isPresent()) {
            return OptionalLong.of(issued.get().issuedAtMs());
        }
        return call.context()
                .idempotencyKey()
                .map(TimeOrderedKey::toCreatedAtMs)
                .orElseGet(OptionalLong::empty);
    }

    /**
     * Finds the owner of the slot of a call's key, as far as this node knows it.
     *
     * @param call the call, with a key
     * @return the instance, or empty
     */
    Optional<String> findOwner(CallRequest call) {
        return leases.findHolder(toSlot(call)).map(LeaseHolder::instance);
    }

    private Optional<IssuedKey> toIssued(CallRequest call) {
        return call.context()
                .idempotencyKey()
                .flatMap(text -> IssuedKey.parse(secret, call.context().account(), text))
                .filter(key -> key.service().equals(call.service()));
    }

    private Optional<Member> findMember(String instance) {
        for (Member member : members.getMembers()) {
            if (member.instance().equals(instance)) {
                return Optional.of(member).filter(any -> any.state() != MemberState.GONE);
            }
        }
        return Optional.empty();
    }

    private void contend() {
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
