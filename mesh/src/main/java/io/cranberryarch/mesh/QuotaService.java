package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.AccountQuota;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.wire.AccountUse;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Holds client accounts to their rates over the whole fleet. Each node spends its share of a rate; the shares follow
 * what callers ask for at each node, as the nodes tell each other.
 */
final class QuotaService {

    /** The most requests whose tokens are given back between two statuses. */
    private static final long MOST_GIVEN_BACK = 50;

    /** The assumed size of a fleet of which nothing is known yet, larger than most. */
    private static final int UNKNOWN_FLEET_NODES = 100;

    private static final int MS_PER_S = 1_000;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    private final Map<String, Map<String, AccountUse>> usesByNode = new HashMap<>();
    private final Map<String, Double> demandOfOthers = new HashMap<>();
    private final long startedAtMs;
    private Map<String, AccountRule> limitedAccounts = Map.of();

    /** The nodes that are connected, this one included; counted when one comes or goes, and at each report. */
    private int connected = 1;

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
        Map<String, AccountRule> limited = new HashMap<>();
        for (AccountRule account : rules.getAccounts()) {
            if (account.isLimited()) {
                limited.put(account.name(), account);
                quotas.computeIfAbsent(account.name(), unused -> new AccountQuota(startedAtMs));
            }
        }
        limitedAccounts = limited;
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
        if (quota.tryAcquire(limit, share, nowMs)) {
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
                quota.getTokens(),
                peers.countNodes(),
                peers.countConnected());
    }

    /** Gives the token of a request back that did not run. */
    void refund(AccountRule account) {
        AccountQuota quota = quotas.get(account.name());
        if (quota != null && account.isLimited()) {
            quota.refund();
        }
    }

    /**
     * Notes what callers of another node use, as its status tells. What the first status after a connection says was
     * admitted meanwhile was counted at the other side of the cut.
     */
    void onPeerStatus(String node, PeerStatusMessage status) {
        boolean isFirst = !usesByNode.containsKey(node);
        Map<String, AccountUse> known = usesByNode.computeIfAbsent(node, unused -> new HashMap<>());
        connected = isFirst ? peers.countConnected() + 1 : connected;
        if (status.isComplete()) {
            known.forEach((account, use) -> addDemand(account, -use.demandPerS()));
            known.replaceAll((account, use) -> new AccountUse(0, use.admitted(), use.held()));
        }
        status.accounts().forEach((account, use) -> {
            Optional<AccountUse> before = Optional.ofNullable(known.put(account, use));
            addDemand(
                    account,
                    use.demandPerS() - before.map(AccountUse::demandPerS).orElse(0.0));
            if (!isFirst) {
                onOtherUsed(node, account, before.map(AccountUse::admitted).orElse(0L), use);
            }
        });
    }

    private void addDemand(String account, double perS) {
        demandOfOthers.merge(account, perS, (sum, change) -> Math.max(0, sum + change));
    }

    private void onOtherUsed(String node, String name, long before, AccountUse use) {
        AccountRule account = limitedAccounts.get(name);
        AccountQuota quota = quotas.get(name);
        if (account == null || quota == null) {
            return;
        }
        long count = use.admitted();
        // Tokens that were given back may lower the count by a few; a much lower one is that of a new incarnation.
        long news = count >= before - MOST_GIVEN_BACK ? count - before : count;
        quota.onPeerReport(toLimit(account), toShare(account, quota), node, news, use.held(), loop.nowMs());
    }

    /**
     * Notes that the node tells all others what its callers use.
     *
     * @return the client accounts of which the others know something else, and what they are told
     */
    Map<String, AccountUse> report() {
        Map<String, AccountUse> news = new HashMap<>();
        connected = peers.countConnected() + 1;
        long nowMs = loop.nowMs();
        for (AccountRule account : limitedAccounts.values()) {
            AccountQuota quota = quotas.get(account.name());
            boolean hasNews = quota.hasUnreportedChange(nowMs);
            quota.onReportSent(
                    toLimit(account),
                    toShare(account, quota),
                    toConnectedPerS(account, quota),
                    connected,
                    peers.countNodes(),
                    nowMs);
            if (hasNews) {
                news.put(account.name(), toUse(quota));
            }
        }
        return news;
    }

    /** Gets what the callers of this node use of all client accounts, as the others know it. */
    Map<String, AccountUse> getUses() {
        Map<String, AccountUse> uses = new HashMap<>();
        quotas.forEach((account, quota) -> {
            if (quota.isUsed()) {
                uses.put(account, toUse(quota));
            }
        });
        return uses;
    }

    private static AccountUse toUse(AccountQuota quota) {
        return new AccountUse(quota.getReportedDemandPerS(), quota.getAdmitted(), quota.getTokens());
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
        double own = quota.getReportedDemandPerS();
        double total = toConnectedPerS(account, quota);
        int nodes = peers.isFleetKnown() ? peers.countNodes() : UNKNOWN_FLEET_NODES;
        return AccountQuota.toShare(own, total, Math.min(nodes, connected), nodes, account.ratePerS());
    }

    /** Gets what callers ask for at this node and at those to which it is connected. */
    private double toConnectedPerS(AccountRule account, AccountQuota quota) {
        return quota.getReportedDemandPerS() + demandOfOthers.getOrDefault(account.name(), 0.0);
    }

    private AccountQuota.Limit toLimit(AccountRule account) {
        double windowS = (double) settings.quotaWindowMs() / MS_PER_S;
        double slack =
                settings.quotaExcessRatio() * (account.ratePerS() * windowS + account.burst()) + settings.quotaExcess();
        return new AccountQuota.Limit(account.ratePerS(), account.burst(), slack);
    }

    /** Forgets what the callers of a node use that has ended or cannot be reached. */
    void removeNode(String node) {
        connected = peers.countConnected() + 1;
        Map<String, AccountUse> uses = usesByNode.remove(node);
        if (uses != null) {
            uses.forEach((account, use) -> addDemand(account, -use.demandPerS()));
        }
        quotas.values().forEach(quota -> quota.removePeer(node));
    }
}
