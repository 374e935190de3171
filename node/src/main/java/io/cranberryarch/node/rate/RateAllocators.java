package io.cranberryarch.node.rate;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.lease.HeldLease;
import io.cranberryarch.decision.lease.LeaseHolder;
import io.cranberryarch.decision.lease.LeaseOrigin;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.rate.RateShard;
import io.cranberryarch.decision.rate.RateShare;
import io.cranberryarch.decision.rate.ShardAllocator;
import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenRequest;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.lease.LeaseService;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.settings.FleetSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;

/**
 * Manages the rate allocators of this node, one for each shard of its zone whose lease the node holds.
 *
 * <p>Thread-safe; each shard has its own lock.
 */
public final class RateAllocators {

    /** The length of an allocator's lease in milliseconds. */
    public static final long LEASE_LENGTH_MS = 90 * 60_000L;

    private final Clock clock;
    private final SettingsService settings;
    private final MemberService members;
    private final LeaseService leases;
    private final List<String> zones;
    private final List<AllocatorShard> shards = new ArrayList<>();
    private final Set<String> contendedLeases = ConcurrentHashMap.newKeySet();
    private volatile boolean isInitialized;

    /**
     * Creates the allocators, which grant nothing before they hold leases.
     *
     * @param clock the clock
     * @param settings the settings in force
     * @param members the membership of the fleet
     * @param leases the leases of this node
     * @param zones all zones of the fleet
     */
    public RateAllocators(
            Clock clock, SettingsService settings, MemberService members, LeaseService leases, List<String> zones) {
        this.clock = clock;
        this.settings = settings;
        this.members = members;
        this.leases = leases;
        this.zones = List.copyOf(zones);
        for (int i = 0; i < RateShard.COUNT; i++) {
            shards.add(new AllocatorShard(new RateShard(members.getSelf().zone(), i)));
        }
    }

    /**
     * Handles a token request if this node holds the lease of the shard.
     *
     * @param request the request, not {@code null}
     * @return the allocator's response, or empty if this node is not the allocator
     */
    public Optional<TokenAnswer> handle(TokenRequest request) {
        RateShard shard = RateShard.of(request.zone(), request.account());
        if (!shard.zone().equals(members.getSelf().zone())) {
            return Optional.empty();
        }
        return shards.get(shard.number()).handle(request);
    }

    /**
     * Gets the instance that holds the lease of a shard.
     *
     * @param shard the shard
     * @return the instance, or empty if the holder is unknown to this node
     */
    public Optional<String> findHolder(RateShard shard) {
        return leases.findHolder(shard.toLeaseName()).map(LeaseHolder::instance);
    }

    /**
     * Checks whether the holder of every lease that this node contends for is known.
     *
     * @return whether requests can be charged
     */
    public boolean isReady() {
        for (String name : contendedLeases) {
            if (leases.findHolder(name).isEmpty()) {
                return false;
            }
        }
        return isInitialized;
    }

    /** Contends for the leases for which this node is a candidate, and applies changed settings. */
    void tick() {
        Collection<Member> allMembers = members.getMembers();
        for (AllocatorShard allocatorShard : shards) {
            contend(allocatorShard.shard, allMembers);
            allocatorShard.refresh();
        }
        isInitialized = true;
    }

    private void contend(RateShard shard, Collection<Member> allMembers) {
        String name = shard.toLeaseName();
        boolean isCandidate = shard.toCandidates(allMembers).stream().anyMatch(members::isSelf);
        if (isCandidate) {
            leases.contendFor(name, LEASE_LENGTH_MS);
            contendedLeases.add(name);
        } else if (contendedLeases.contains(name) && leases.find(name).isEmpty()) {
            leases.release(name);
            contendedLeases.remove(name);
        }
    }

    private RateShare toShare(String account) {
        FleetSettings fleet = settings.getFleetSettings();
        return fleet.getAccount(account)
                .map(clientAccount -> RateShare.of(
                        account,
                        clientAccount.ratePerSecond(),
                        clientAccount.burst(),
                        zones,
                        members.getSelf().zone()))
                .orElse(RateShare.NONE);
    }

    /** A shard and, while this node holds its lease, the allocator of the shard. */
    private final class AllocatorShard {

        private final RateShard shard;
        private Optional<ShardAllocator> allocator = Optional.empty();
        private long settingsVersion;

        AllocatorShard(RateShard shard) {
            this.shard = shard;
        }

        synchronized Optional<TokenAnswer> handle(TokenRequest request) {
            long nowMs = clock.monotonicMs();
            Optional<HeldLease> lease = leases.find(shard.toLeaseName());
            if (lease.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(getOrCreate(lease.get(), nowMs).handle(request, toShare(request.account()), nowMs));
        }

        synchronized void refresh() {
            long nowMs = clock.monotonicMs();
            leases.find(shard.toLeaseName()).ifPresent(lease -> getOrCreate(lease, nowMs));
            long version = settings.getVersion();
            if (version == settingsVersion) {
                return;
            }
            settingsVersion = version;
            allocator.ifPresent(current -> current.configure(RateAllocators.this::toShare, nowMs));
        }

        private ShardAllocator getOrCreate(HeldLease lease, long nowMs) {
            if (allocator.isEmpty() || allocator.get().getEpoch() != lease.epoch()) {
                Logger.info("rate-allocator lease={} epoch={} origin={}", lease.name(), lease.epoch(), lease.origin());
                allocator = Optional.of(new ShardAllocator(lease.epoch(), lease.origin() == LeaseOrigin.FIRST, nowMs));
            }
            return allocator.get();
        }
    }
}
