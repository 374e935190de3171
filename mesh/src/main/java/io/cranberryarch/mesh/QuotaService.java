package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.AccountQuota;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.AccountRule;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds client accounts to their rates over the whole fleet. Each node spends its share of a rate; the shares follow
 * what callers ask for at each node, as the nodes tell each other.
 */
final class QuotaService {

    /** Demand below this is not worth telling others, in requests a second. */
    private static final double NEGLIGIBLE_PER_S = 0.2;

    private static final int MS_PER_S = 1_000;

    private final EventLoop loop;
    private final MeshSettings settings;
    private final Map<String, AccountQuota> quotas = new HashMap<>();

    QuotaService(EventLoop loop, MeshSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    /**
     * Charges a request to its account.
     *
     * @return when to come back in milliseconds, or empty if the request is within the rate
     */
    Optional<Long> charge(AccountRule account, PeerService peers) {
        if (!account.isLimited()) {
            return Optional.empty();
        }
        AccountQuota quota = quotas.computeIfAbsent(account.name(), unused -> new AccountQuota());
        long nowMs = loop.nowMs();
        double own = quota.getDemandPerS(nowMs);
        double total = own;
        for (Peer peer : peers.getPeers()) {
            total += peer.getDemandPerS(account.name());
        }
        double share = AccountQuota.toShare(own, total, peers.countNodes(), account.ratePerS());
        double windowS = (double) settings.quotaWindowMs() / MS_PER_S;
        double slack =
                settings.quotaExcessRatio() * (account.ratePerS() * windowS + account.burst()) + settings.quotaExcess();
        if (quota.tryTake(share, account.ratePerS(), account.burst(), slack, nowMs)) {
            return Optional.empty();
        }
        return Optional.of(quota.toNextTokenMs(share, account.ratePerS()));
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
