package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.AccountQuota;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRules;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds client accounts to their rates over the whole fleet. Each node spends its share of a rate; the shares follow
 * what callers ask for at each node, as the nodes tell each other.
 */
final class QuotaService {

    /** Demand below this is not worth telling others, in requests a second. */
    private static final double NEGLIGIBLE_PER_S = 0.2;

    /** The most requests whose tokens are given back between two statuses. */
    private static final long MOST_GIVEN_BACK = 50;

    /** The assumed size of a fleet of which nothing is known yet, larger than most. */
    private static final int UNKNOWN_FLEET_NODES = 100;

    private static final int MS_PER_S = 1_000;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    private final Map<String, Map<String, Long>> admittedByPeer = new HashMap<>();

    private final long startedAtMs;
    private MeshSettings settings;

    QuotaService(EventLoop loop, PeerDirectory peers, MeshSettings settings) {
        this.loop = loop;
        this.peers = peers;
        this.settings = settings;
        this.startedAtMs = loop.nowMs();
    }

    void setSettings(MeshSettings changed) {
        settings = changed;
    }

    /** Begins to follow the rates of the accounts, so that what lies unused is known when the first requests come. */
    void onRules(ServingRules rules) {
        for (AccountRule account : rules.getAccounts()) {
            if (account.isLimited()) {
                quotas.computeIfAbsent(account.name(), unused -> new AccountQuota(startedAtMs));
            }
        }
    }

    /**
     * Charges a request to its account.
     *
     * @return when to come back in milliseconds, or empty if the request is within the rate
     */
    Optional<Long> charge(AccountRule account) {
        if (!account.isLimited()) {
            return Optional.empty();
        }
        AccountQuota quota = quotas.computeIfAbsent(account.name(), unused -> new AccountQuota(startedAtMs));
        long nowMs = loop.nowMs();
        AccountQuota.Limit limit = toLimit(account);
        double share = toShare(account, quota);
        if (quota.tryTake(limit, share, nowMs)) {
            return Optional.empty();
        }
        return Optional.of(quota.toRetryAfterMs(limit, share, nowMs));
    }

    /** Writes what decides about requests of an account, as fields of a log line. */
    String toLogFields(AccountRule account) {
        AccountQuota quota = quotas.get(account.name());
        if (quota == null) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                " rate-per-s=%.1f burst=%.1f share=%.3f demand-per-s=%.1f held=%.2f nodes=%d connected=%d",
                account.ratePerS(),
                account.burst(),
                toShare(account, quota),
                quota.getDemandPerS(loop.nowMs()),
                quota.getHeld(),
                peers.countNodes(),
                peers.countConnected());
    }

    /** Gives the token of a request back that did not run. */
    void giveBack(AccountRule account) {
        AccountQuota quota = quotas.get(account.name());
        if (quota != null && account.isLimited()) {
            quota.giveBack();
        }
    }

    /** Notes what another node admitted since its last status. */
    void onPeerStatus(Peer peer, Optional<ServingRules> rules) {
        Map<String, Long> known = admittedByPeer.put(peer.getInfo().node(), peer.getAdmitted());
        if (known == null || rules.isEmpty()) {
            return;
        }
        for (AccountRule account : rules.get().getAccounts()) {
            AccountQuota quota = quotas.get(account.name());
            Long count = peer.getAdmitted().get(account.name());
            if (quota == null || count == null || !account.isLimited()) {
                continue;
            }
            long before = known.getOrDefault(account.name(), 0L);
            // Tokens that were given back may lower the count by a few; a much lower one is that of a new incarnation.
            long news = count >= before - MOST_GIVEN_BACK ? count - before : count;
            double held = peer.getHeldTokens().getOrDefault(account.name(), 0.0);
            double share = toShare(account, quota);
            quota.onOtherReported(toLimit(account), share, peer.getInfo().node(), news, held, loop.nowMs());
        }
    }

    /** Notes that the node tells all others what it admitted. */
    void onReported(Optional<ServingRules> rules) {
        if (rules.isEmpty()) {
            return;
        }
        boolean isComplete = peers.countConnected() == peers.countNodes() - 1;
        for (AccountRule account : rules.get().getAccounts()) {
            AccountQuota quota = quotas.get(account.name());
            if (quota != null && account.isLimited()) {
                double share = toShare(account, quota);
                quota.onReported(toLimit(account), share, peers.countNodes(), isComplete, loop.nowMs());
            }
        }
    }

    /** Tells whether the others should hear soon what this node admitted. */
    boolean isReportDue() {
        for (AccountQuota quota : quotas.values()) {
            if (quota.isReportDue()) {
                return true;
            }
        }
        return false;
    }

    private double toShare(AccountRule account, AccountQuota quota) {
        double own = quota.getReportedPerS();
        double total = own;
        for (Peer peer : peers.getPeers()) {
            total += peer.getDemandPerS(account.name());
        }
        int nodes = peers.isFleetKnown() ? peers.countNodes() : UNKNOWN_FLEET_NODES;
        return AccountQuota.toShare(own, total, nodes, account.ratePerS());
    }

    private AccountQuota.Limit toLimit(AccountRule account) {
        double windowS = (double) settings.quotaWindowMs() / MS_PER_S;
        double slack =
                settings.quotaExcessRatio() * (account.ratePerS() * windowS + account.burst()) + settings.quotaExcess();
        return new AccountQuota.Limit(account.ratePerS(), account.burst(), slack);
    }

    /** Gets the requests that this node admitted, to tell the others. */
    Map<String, Long> getAdmitted() {
        return collect(AccountQuota::getAdmitted);
    }

    /** Gets the tokens in the node's own buckets, to tell the others; those of unused accounts are known to be full. */
    Map<String, Double> getHeld() {
        return collect(AccountQuota::getHeld);
    }

    private <T> Map<String, T> collect(Function<AccountQuota, T> value) {
        Map<String, T> values = new HashMap<>();
        quotas.forEach((account, quota) -> {
            if (quota.isUsed()) {
                values.put(account, value.apply(quota));
            }
        });
        return values;
    }

    /** Forgets what a node held that has ended or has not been heard of for long. */
    void forget(Peer peer) {
        admittedByPeer.remove(peer.getInfo().node());
        quotas.values().forEach(quota -> quota.forget(peer.getInfo().node()));
    }

    /** Gets the demand at this node, to tell the others. */
    Map<String, Double> getDemandPerS() {
        Map<String, Double> demand = new HashMap<>();
        long nowMs = loop.nowMs();
        quotas.forEach((account, quota) -> {
            double perS = quota.getDemandPerS(nowMs);
            if (perS >= NEGLIGIBLE_PER_S) {
                demand.put(account, perS);
            }
        });
        return demand;
    }
}
