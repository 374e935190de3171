package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.AccountQuota;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.wire.AccountUsage;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Enforces the rates of client accounts over the whole fleet. Each node spends its share of a rate; the shares follow
 * the demand at each node, which the nodes exchange in their statuses.
 */
final class QuotaService {

    /** Maximum number of requests whose tokens are refunded between two statuses. */
    private static final long MAX_REFUNDS_PER_STATUS = 50;

    /** Fleet size assumed until the list of nodes is available, larger than most fleets. */
    private static final int ASSUMED_FLEET_SIZE = 100;

    private static final int MS_PER_S = 1_000;

    private final EventLoop loop;
    private final PeerDirectory peers;
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    private final Map<String, Map<String, AccountUsage>> usageByNode = new HashMap<>();
    private final Map<String, Double> remoteDemandPerS = new HashMap<>();
    private final long startedAtMs;
    private Map<String, AccountRule> limitedAccounts = Map.of();

    /** Number of connected nodes, including this one; updated when a node connects or disconnects and on reports. */
    private int connectedNodes = 1;

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

    /** Starts tracking the rates of the accounts, so that unused tokens are known when the first requests arrive. */
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
     * @param account the rule of the account, not {@code null}
     * @return the time after which to retry in milliseconds, or empty if the request is within the rate
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

    /** Returns the values that decide about requests of an account, as fields of a log line. */
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

    /** Refunds the token of a request that did not run. */
    void refund(AccountRule account) {
        AccountQuota quota = quotas.get(account.name());
        if (quota != null && account.isLimited()) {
            quota.refund();
        }
    }

    /**
     * Records the usage of accounts by callers of another node from its status. Admissions in the first status after a
     * connection are not deducted here, since they were counted on the other side of the network partition.
     */
    void onPeerStatus(String node, PeerStatusMessage status) {
        boolean isFirst = !usageByNode.containsKey(node);
        Map<String, AccountUsage> usageByAccount = usageByNode.computeIfAbsent(node, unused -> new HashMap<>());
        connectedNodes = isFirst ? peers.countConnected() + 1 : connectedNodes;
        if (status.isComplete()) {
            usageByAccount.forEach((account, usage) -> addDemand(account, -usage.demandPerS()));
            usageByAccount.replaceAll((account, usage) -> new AccountUsage(0, usage.admitted(), usage.bucketTokens()));
        }
        status.accounts().forEach((account, usage) -> {
            Optional<AccountUsage> previous = Optional.ofNullable(usageByAccount.put(account, usage));
            addDemand(
                    account,
                    usage.demandPerS() - previous.map(AccountUsage::demandPerS).orElse(0.0));
            if (!isFirst) {
                onRemoteUsage(
                        node, account, previous.map(AccountUsage::admitted).orElse(0L), usage);
            }
        });
    }

    private void addDemand(String account, double demandPerS) {
        remoteDemandPerS.merge(account, demandPerS, (sum, change) -> Math.max(0, sum + change));
    }

    private void onRemoteUsage(String node, String name, long previous, AccountUsage usage) {
        AccountRule account = limitedAccounts.get(name);
        AccountQuota quota = quotas.get(name);
        if (account == null || quota == null) {
            return;
        }
        long count = usage.admitted();
        // Refunded tokens may lower the count by a few; a much lower count is that of a new incarnation.
        long admitted = count >= previous - MAX_REFUNDS_PER_STATUS ? count - previous : count;
        quota.onPeerReport(
                toLimit(account), toShare(account, quota), node, admitted, usage.bucketTokens(), loop.nowMs());
    }

    /**
     * Records that the usage of accounts by callers of this node is reported to all other nodes.
     *
     * @return the usage of the client accounts whose last reported usage differs
     */
    Map<String, AccountUsage> report() {
        Map<String, AccountUsage> changed = new HashMap<>();
        connectedNodes = peers.countConnected() + 1;
        long nowMs = loop.nowMs();
        for (AccountRule account : limitedAccounts.values()) {
            AccountQuota quota = quotas.get(account.name());
            boolean isChanged = quota.hasUnreportedChange(nowMs);
            quota.onReportSent(
                    toLimit(account),
                    toShare(account, quota),
                    toConnectedDemandPerS(account, quota),
                    connectedNodes,
                    peers.countNodes(),
                    nowMs);
            if (isChanged) {
                changed.put(account.name(), toUsage(quota));
            }
        }
        return changed;
    }

    /** Returns the usage of all client accounts by callers of this node, as last reported to the other nodes. */
    Map<String, AccountUsage> getUsage() {
        Map<String, AccountUsage> usageByAccount = new HashMap<>();
        quotas.forEach((account, quota) -> {
            if (quota.isUsed()) {
                usageByAccount.put(account, toUsage(quota));
            }
        });
        return usageByAccount;
    }

    private static AccountUsage toUsage(AccountQuota quota) {
        return new AccountUsage(quota.getReportedDemandPerS(), quota.getAdmitted(), quota.getTokens());
    }

    /** Returns whether the requests admitted by this node should be reported to the other nodes soon. */
    boolean isReportDue() {
        for (AccountQuota quota : quotas.values()) {
            if (quota.isReportDue()) {
                return true;
            }
        }
        return false;
    }

    private double toShare(AccountRule account, AccountQuota quota) {
        double localDemandPerS = quota.getReportedDemandPerS();
        double totalDemandPerS = toConnectedDemandPerS(account, quota);
        int nodes = peers.isFleetKnown() ? peers.countNodes() : ASSUMED_FLEET_SIZE;
        return AccountQuota.toShare(
                localDemandPerS, totalDemandPerS, Math.min(nodes, connectedNodes), nodes, account.ratePerS());
    }

    /** Returns the demand at this node and at the connected nodes, in requests per second. */
    private double toConnectedDemandPerS(AccountRule account, AccountQuota quota) {
        return quota.getReportedDemandPerS() + remoteDemandPerS.getOrDefault(account.name(), 0.0);
    }

    private AccountQuota.Limit toLimit(AccountRule account) {
        double windowS = (double) settings.quotaWindowMs() / MS_PER_S;
        double slack =
                settings.quotaExcessRatio() * (account.ratePerS() * windowS + account.burst()) + settings.quotaExcess();
        return new AccountQuota.Limit(account.ratePerS(), account.burst(), slack);
    }

    /** Removes the usage recorded for a node that has ended or cannot be reached. */
    void removeNode(String node) {
        connectedNodes = peers.countConnected() + 1;
        Map<String, AccountUsage> usageByAccount = usageByNode.remove(node);
        if (usageByAccount != null) {
            usageByAccount.forEach((account, usage) -> addDemand(account, -usage.demandPerS()));
        }
        quotas.values().forEach(quota -> quota.removePeer(node));
    }
}
