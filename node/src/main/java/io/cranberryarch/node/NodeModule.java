package io.cranberryarch.node;

import dagger.Module;
import dagger.Provides;
import io.cranberryarch.base.Clock;
import io.cranberryarch.base.Closer;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.decision.lease.Lease;
import io.cranberryarch.decision.lease.LeaseContender;
import io.cranberryarch.node.call.ActiveCalls;
import io.cranberryarch.node.call.AdmissionService;
import io.cranberryarch.node.call.CallService;
import io.cranberryarch.node.call.Gate;
import io.cranberryarch.node.call.IdempotencyKeyService;
import io.cranberryarch.node.call.UpstreamClient;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.http.AdminHandler;
import io.cranberryarch.node.http.EntryHandler;
import io.cranberryarch.node.http.LocalHandler;
import io.cranberryarch.node.http.NodeHttpServer;
import io.cranberryarch.node.lease.LeaseService;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.member.RoutingService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.node.rate.RateAllocators;
import io.cranberryarch.node.rate.RateService;
import io.cranberryarch.node.rate.TokenRouter;
import io.cranberryarch.node.report.CountsReporter;
import io.cranberryarch.settings.ClientAccount;
import io.cranberryarch.settings.NodeConfig;
import io.cranberryarch.store.HttpPlatform;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import javax.inject.Named;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;

/** Creates the components of a node. */
@Module
final class NodeModule {

    private static final int PEER_THREAD_COUNT = 2;
    private static final int BLOCKING_THREAD_COUNT = 4;
    private static final int MAX_UPSTREAM_CONNECTIONS = 2_048;

    private final NodeConfig config;
    private final Closer closer;

    NodeModule(NodeConfig config, Closer closer) {
        this.config = config;
        this.closer = closer;
    }

    @Provides
    @Singleton
    Clock provideClock() {
        return Clock.system();
    }

    @Provides
    @Singleton
    NodeIdentity provideIdentity(Clock clock) {
        return new NodeIdentity(config.instance(), clock.wallMs(), config.zone(), config.service());
    }

    @Provides
    @Singleton
    @Named("timer")
    ScheduledThreadPoolExecutor provideTimer() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, createThreadFactory("timer"));
        timer.setRemoveOnCancelPolicy(true);
        closer.add(timer::shutdownNow);
        return timer;
    }

    @Provides
    @Singleton
    @Named("blocking")
    ScheduledThreadPoolExecutor provideBlocking() {
        ScheduledThreadPoolExecutor blocking =
                new ScheduledThreadPoolExecutor(BLOCKING_THREAD_COUNT, createThreadFactory("blocking"));
        closer.add(blocking::shutdownNow);
        return blocking;
    }

    @Provides
    @Singleton
    HttpClient provideHttpClient() {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_UPSTREAM_CONNECTIONS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.getContentDecoderFactories().clear();
        closer.add(client::stop);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("failed to start the HTTP client", e);
        }
        return client;
    }

    @Provides
    @Singleton
    HttpPlatform providePlatform(HttpClient client) {
        return new HttpPlatform(client, config.platform(), config.platformTimeoutMs());
    }

    @Provides
    @Singleton
    PeerNetwork provideNetwork(NodeIdentity identity, Clock clock) {
        try {
            AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(
                    Executors.newFixedThreadPool(PEER_THREAD_COUNT, createThreadFactory("peer")));
            closer.add(group::shutdownNow);
            InetSocketAddress address = new InetSocketAddress(config.host(), config.peerPort());
            return closer.add(new PeerNetwork(identity, config.fleetSecret(), clock, group, address));
        } catch (IOException e) {
            throw new UncheckedIOException("failed to bind the peer port: " + e.getMessage(), e);
        }
    }

    @Provides
    @Singleton
    SettingsService provideSettings(HttpPlatform platform, PeerNetwork network, NodeMetrics metrics, Clock clock) {
        return new SettingsService(platform, platform, network, metrics, clock);
    }

    @Provides
    @Singleton
    MemberService provideMembers(
            NodeIdentity identity, PeerNetwork network, SettingsService settings, NodeMetrics metrics, Clock clock) {
        try {
            return new MemberService(
                    identity,
                    config.host(),
                    network.getPort(),
                    config.slots(),
                    config.seeds(),
                    network,
                    settings,
                    metrics,
                    clock);
        } catch (IOException e) {
            throw new UncheckedIOException("the peer port is closed", e);
        }
    }

    @Provides
    @Singleton
    LeaseService provideLeases(NodeIdentity identity, HttpPlatform platform, PeerNetwork network, Clock clock) {
        try {
            String address = config.host() + ":" + network.getPort();
            LeaseContender self = new LeaseContender(identity.instance(), identity.incarnation(), address);
            return new LeaseService(platform, self, clock, Lease.LENGTH_MS);
        } catch (IOException e) {
            throw new UncheckedIOException("the peer port is closed", e);
        }
    }

    @Provides
    @Singleton
    ActiveCalls provideActiveCalls() {
        return new ActiveCalls();
    }

    @Provides
    @Singleton
    AdmissionService provideAdmission(
            Clock clock,
            @Named("timer") ScheduledThreadPoolExecutor timer,
            SettingsService settings,
            NodeMetrics metrics) {
        ToDoubleFunction<String> weights = account -> settings.getFleetSettings()
                .getAccount(account)
                .map(ClientAccount::weight)
                .orElse(1.0);
        return new AdmissionService(config.slots(), clock, timer, weights, metrics);
    }

    @Provides
    @Singleton
    IdempotencyKeyService provideKeys(NodeIdentity identity, Clock clock, MemberService members, LeaseService leases) {
        return new IdempotencyKeyService(identity, config.fleetSecret(), clock, members, leases);
    }

    @Provides
    @Singleton
    Gate provideGate(
            Clock clock,
            MemberService members,
            HttpClient client,
            ActiveCalls activeCalls,
            AdmissionService admission,
            IdempotencyKeyService keys,
            NodeMetrics metrics) {
        UpstreamClient upstream = new UpstreamClient(client, config.upstream(), config.maxBodyBytes());
        return new Gate(clock, members, upstream, activeCalls, admission, keys, metrics);
    }

    @Provides
    @Singleton
    RoutingService provideRouting(MemberService members, Clock clock) {
        return new RoutingService(members, clock);
    }

    @Provides
    @Singleton
    CallService provideCalls(
            Clock clock,
            MemberService members,
            RoutingService routing,
            PeerNetwork network,
            Gate gate,
            IdempotencyKeyService keys,
            @Named("timer") ScheduledThreadPoolExecutor timer,
            NodeMetrics metrics) {
        return new CallService(clock, members, routing, network, gate, keys, timer, metrics);
    }

    @Provides
    @Singleton
    RateAllocators provideRateAllocators(
            Clock clock, SettingsService settings, MemberService members, LeaseService leases) {
        return new RateAllocators(clock, settings, members, leases, config.zones());
    }

    @Provides
    @Singleton
    TokenRouter provideTokenRouter(MemberService members, PeerNetwork network, RateAllocators allocators) {
        return new TokenRouter(members, network, allocators);
    }

    @Provides
    @Singleton
    RateService provideRates(Clock clock, RateAllocators allocators, TokenRouter router, NodeMetrics metrics) {
        List<String> zones = new ArrayList<>(config.zones());
        zones.remove(config.zone());
        zones.add(0, config.zone());
        return new RateService(clock, allocators, router, zones, metrics.getRegistry());
    }

    @Provides
    @Singleton
    NodeMetrics provideMetrics() {
        return new NodeMetrics();
    }

    @Provides
    @Singleton
    CountsStore provideCountsStore(HttpPlatform platform, Clock clock) {
        return new CountsStore(platform, platform, clock);
    }

    @Provides
    @Singleton
    CountsReporter provideCounts(NodeIdentity identity, HttpPlatform platform, CountsStore counts, Clock clock) {
        return new CountsReporter(identity, platform, counts, clock);
    }

    @Provides
    @Singleton
    EntryHandler provideEntry(
            SettingsService settings,
            RateService rates,
            CallService calls,
            IdempotencyKeyService keys,
            NodeMetrics metrics,
            CountsReporter counts) {
        return new EntryHandler(settings, rates, calls, keys, metrics, counts, config.maxBodyBytes());
    }

    @Provides
    @Singleton
    LocalHandler provideLocal(
            SettingsService settings, MemberService members, ActiveCalls activeCalls, CallService calls, Clock clock) {
        return new LocalHandler(settings, members, activeCalls, calls, clock, config.maxBodyBytes());
    }

    @Provides
    @Singleton
    AdminHandler provideAdmin(
            SettingsService settings,
            MemberService members,
            Gate gate,
            NodeMetrics metrics,
            CountsStore counts,
            @Named("blocking") ScheduledThreadPoolExecutor blocking) {
        return new AdminHandler(settings, members, gate, metrics, counts, config.ownerTokenSha256(), blocking);
    }

    @Provides
    @Singleton
    NodeHttpServer provideHttpServer(EntryHandler entry, LocalHandler local, AdminHandler admin) {
        return closer.add(new NodeHttpServer(config, entry, local, admin));
    }

    private static ThreadFactory createThreadFactory(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
