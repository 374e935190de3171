package io.cranberryarch.mesh;

import io.cranberryarch.base.Closer;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.counts.CountsSource;
import io.cranberryarch.decision.serving.OverloadDetector;
import io.cranberryarch.decision.serving.RouteCosts;
import io.cranberryarch.decision.serving.StallDetector;
import io.cranberryarch.decision.serving.WorkDemand;
import io.cranberryarch.net.ByteBudget;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpLimits;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.net.HttpServer;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.settings.serving.RequestLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A node on a hosted platform, assembled from its parts.
 *
 * <pre>
 * MeshNode node = new MeshNode(loop, settings, names, store, reader, log);
 * node.start();
 * loop.run();
 * </pre>
 */
public final class MeshNode {

    /**
     * Time for which the entry accepts connections after shutdown begins, until the platform has detected that the node
     * is not ready.
     */
    private static final long ENTRY_CLOSE_DELAY_MS = 2_500;

    /**
     * Time for which the gate accepts requests from other nodes after shutdown begins, so that most of them have ended
     * when the entry closes.
     */
    private static final long GATE_CLOSE_DELAY_MS = 2_000;

    /** Time before the end of the grace period at which remaining requests are aborted. */
    private static final long STOP_MARGIN_MS = 500;

    private static final long STOP_CHECK_INTERVAL_MS = 50;

    /** Maximum time that shutdown waits for the store to acknowledge the last counts; the report shows their loss. */
    private static final long FINAL_COUNTS_TIMEOUT_MS = 500;

    /** Maximum size of the body of an upstream response. */
    private static final int MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024;

    /**
     * Divisor of the maximum heap size that gives the bytes reserved for incomplete upstream responses; a complete
     * response is copied for the frame, its reader and the caller.
     */
    private static final int RESPONSE_HEAP_DIVISOR = 8;

    /** Time for which an idle upstream connection is kept open, below the idle timeouts common among servers. */
    private static final long MAX_CONNECTION_IDLE_MS = 8_000;

    private static final long INITIAL_STORE_RETRY_DELAY_MS = 200;
    private static final long MAX_STORE_RETRY_DELAY_MS = 2_000;

    /** Maximum delay of the repeated registration once the store has returned from an older copy. */
    private static final long MAX_REPEATED_REGISTRATION_DELAY_MS = 1_000;

    private final EventLoop loop;
    private final SharedStore store;
    private final EventLog log;
    private final Closer closer = new Closer();
    private final UpstreamState upstream;
    private final UpstreamReportService reports;
    private final RulesService rules;
    private final StallRecovery stallRecovery;
    private final RateLimitTracker rateLimit;
    private final Gate gate;
    private final UpstreamProbe probe;
    private final PeerDirectory peers;
    private final PeerService peerService;
    private final EntryService entry;
    private final MeshMetrics metrics = new MeshMetrics();
    private final ByteBudget responseBytes = new ByteBudget(Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR);
    private final QuotaService quotas;
    private final Forwarder forwarder;
    private final CountsService counts;
    private MeshSettings settings;
    private HttpServer entryServer;
    private HttpServer readinessServer;
    private HttpServer metricsServer;
    private boolean isStopping;
    private boolean isDeregistered;
    private long storeRetryDelayMs;

    /**
     * Creates a node that is not started.
     *
     * @param loop the event loop on which the node runs
     * @param settings the settings of the node
     * @param names the header names of the platform
     * @param store the platform's store
     * @param reader the reader of the operators' document
     * @param log the event log
     */
    public MeshNode(
            EventLoop loop,
            MeshSettings settings,
            HeaderNames names,
            SharedStore store,
            RulesReader reader,
            EventLog log) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.log = log;
        PeerInfo self = new PeerInfo(settings.node(), settings.zone(), IniFile.toText(settings.peers()));
        upstream = new UpstreamState(loop, log);
        reports = new UpstreamReportService(loop, settings.node(), upstream, store, log);
        HttpClientPool connections = new HttpClientPool(
                loop, settings.upstream(), MAX_RESPONSE_BODY_BYTES, MAX_CONNECTION_IDLE_MS, responseBytes);
        rateLimit = new RateLimitTracker(loop, upstream, log);
        gate = new Gate(loop, connections, names, upstream, rateLimit, log);
        probe = new UpstreamProbe(loop, connections, names, upstream, log);
        peers = new PeerDirectory(loop, self, gate, upstream);
        rules = new RulesService(loop, store, reader, peers, log);
        stallRecovery = new StallRecovery(loop, rules, log);
        quotas = new QuotaService(loop, peers, settings);
        WorkDemand workDemand = new WorkDemand();
        long incarnation = loop.wallMs();
        counts = new CountsService(loop, store, new CountsSource(settings.node(), incarnation, settings.zone()), log);
        peerService = new PeerService(
                loop,
                self,
                incarnation,
                peers,
                gate,
                new CompactHeaders(names),
                upstream,
                reports,
                rateLimit,
                rules,
                log,
                quotas,
                workDemand);
        forwarder = new Forwarder(loop, settings, peers, gate, metrics, log);
        RouteCosts costs = new RouteCosts();
        OverloadDetector detector = new OverloadDetector(peers, costs, workDemand);
        entry = new EntryService(
                loop,
                settings,
                names,
                rules,
                stallRecovery,
                gate,
                forwarder,
                quotas,
                new EntryAdmission(detector),
                costs,
                metrics,
                counts,
                log);
        addListeners();
        addGauges();
    }

    private void addListeners() {
        store.addRestoreListener(this::onStoreRestored);
        rules.addListener(() -> rules.getRules().ifPresent(quotas::onRules));
        rules.addListener(peerService::broadcastStatus);
        rules.addListener(this::probeUpstream);
        loop.scheduleWithFixedDelay(StallDetector.CHECK_INTERVAL_MS, () -> {
            stallRecovery.check();
            upstream.checkReports(settings.reportIntervalMs());
        });
    }

    private void addGauges() {
        metrics.gauge("rules_version", rules::getVersion);
        metrics.gauge("rules_age_ms", rules::getAgeMs);
        metrics.gauge("store_contact_age_ms", rules::getStoreAgeMs);
        metrics.gauge("peers_known", () -> peers.countNodes() - 1);
        metrics.gauge("peers_connected", peers::countConnected);
        metrics.gauge("upstream_report_age_ms", upstream::getReportAgeMs);
        metrics.gauge("requests_in_progress", entry::countInProgress);
        metrics.gauge("gate_busy", gate::countInFlight);
        metrics.gauge("gate_waiting", gate::countWaiting);
        metrics.gauge("gate_limit", gate::getLimit);
        metrics.gauge("gate_limit_usable", gate::getUsableLimit);
        metrics.gauge(
                "gate_rate_limit", () -> rateLimit.getLimit().getRatePerS().orElse(Double.NaN));
        metrics.gauge("upstream_answer_bytes_held", responseBytes::getHeldBytes);
        metrics.gauge("counts_increments_waiting", counts::countWaiting);
        metrics.gauge("log_lines_left_out", log::countDroppedLines);
    }

    /**
     * Returns the service that receives the reports of the upstream.
     *
     * @return the service
     */
    public UpstreamReportService getReports() {
        return reports;
    }

    /** Returns the service that handles the requests of callers. */
    EntryService getEntry() {
        return entry;
    }

    /**
     * Binds the ports and starts reading rules and peers. Must be called before the loop runs.
     *
     * @throws IOException if a port cannot be bound
     */
    public void start() throws IOException {
        peerService.start(settings.peers());
        closer.add(peerService);
        entryServer = bind(settings.entry(), entry::onRequest);
        readinessServer = bind(settings.ready(), this::onReadinessRequest);
        metricsServer = bind(settings.metrics(), this::onMetrics);
        rules.start();
        stallRecovery.start();
        reports.start(this::probeUpstream);
        counts.start();
        register();
        log.info("event=node-started node=" + settings.node() + " zone=" + settings.zone() + " service="
                + settings.service() + " entry=" + IniFile.toText(entryServer.getAddress()));
    }

    /**
     * Applies changed settings: the bounds, the limit of the log and the grace period. Changed names and addresses take
     * effect at the next start.
     *
     * @param changed the new settings
     */
    public void reload(MeshSettings changed) {
        log.info("event=settings-reloaded changed=" + !changed.equals(settings));
        settings = changed;
        quotas.setSettings(changed);
        forwarder.setSettings(changed);
        log.setRequestLinesPerS(changed.logLinesPerS());
    }

    /**
     * Returns the address for callers, once the node is started.
     *
     * @return the bound address
     * @throws IOException if the port is closed
     */
    public InetSocketAddress getEntryAddress() throws IOException {
        return entryServer.getAddress();
    }

    /**
     * Returns the address for readiness checks, once the node is started.
     *
     * @return the bound address
     * @throws IOException if the port is closed
     */
    public InetSocketAddress getReadinessAddress() throws IOException {
        return readinessServer.getAddress();
    }

    /**
     * Returns the address of the metrics, once the node is started.
     *
     * @return the bound address
     * @throws IOException if the port is closed
     */
    public InetSocketAddress getMetricsAddress() throws IOException {
        return metricsServer.getAddress();
    }

    /**
     * Stops gracefully: the loop ends once no request is in progress and all responses are sent, or shortly before the
     * grace period ends.
     */
    public void stop() {
        if (isStopping) {
            return;
        }
        isStopping = true;
        long startMs = loop.nowMs();
        if (!upstream.isUpstreamLeaving()) {
            // The upstream keeps running, and its gate stays open as long as the entry has to accept connections.
            loop.schedule(GATE_CLOSE_DELAY_MS, upstream::onNodeStopping);
        } else {
            upstream.onNodeStopping();
            // The machine is removed together with its upstream; a node that only restarts stays registered.
            isDeregistered = true;
            store.deregister(
                    settings.node(),
                    SharedStore.Callback.of(
                            done -> {},
                            failure -> log.info("event=deregister-failed cause=\"" + failure.cause() + "\"")));
        }
        log.info("event=node-stopping in-progress=" + entry.countInProgress());
        loop.schedule(ENTRY_CLOSE_DELAY_MS, () -> {
            entryServer.close();
            entry.close();
            entryServer.closeConnectionsGracefully();
        });
        checkStopped(startMs);
    }

    /**
     * Returns whether the node can serve requests.
     *
     * @return whether the node is ready
     */
    public boolean isReady() {
        return !isStopping && rules.getRules().isPresent() && peers.isFleetKnown();
    }

    private HttpServer bind(InetSocketAddress address, HttpServer.Handler handler) throws IOException {
        return closer.add(HttpServer.bind(loop, address, this::toLimits, handler, this::refuseMalformed));
    }

    private HttpResponseMessage refuseMalformed(int status, String cause) {
        metrics.count("requests_malformed{status=\"" + status + "\"}");
        if (log.tryAcquireRequestLine(loop.nowMs())) {
            log.info("event=request-malformed status=" + status + " cause=\"" + cause + "\"");
        }
        return Refusals.of(status, Refusals.MALFORMED, 0, List.of());
    }

    private HttpLimits toLimits() {
        return rules.getRules()
                .map(servingRules -> toLimits(servingRules.getLimits()))
                .orElse(HttpLimits.DEFAULT);
    }

    private static HttpLimits toLimits(RequestLimits limits) {
        return new HttpLimits(
                limits.maxHeaderBytes(),
                Math.min(limits.maxBodyBytes(), HttpLimits.DEFAULT.maxBodyBytes()),
                limits.headerTimeoutMs(),
                limits.idleTimeoutMs());
    }

    /** Sends a health check, whose success must not outweigh an earlier leave. */
    private void probeUpstream() {
        if (!reports.isRestored()) {
            return;
        }
        rules.getRules()
                .flatMap(servingRules -> servingRules.findService(settings.service()))
                .ifPresent(probe::send);
    }

    private void checkStopped(long startMs) {
        long stoppingMs = loop.nowMs() - startMs;
        boolean isIdle = stoppingMs > ENTRY_CLOSE_DELAY_MS + STOP_CHECK_INTERVAL_MS
                && entry.countInProgress() == 0
                && gate.countInFlight() == 0
                && !entryServer.hasUnsentBytes();
        if (isIdle || stoppingMs > settings.stopGraceMs() - STOP_MARGIN_MS) {
            entry.abortAll();
            counts.finish();
            awaitCounts(startMs, loop.nowMs());
            return;
        }
        loop.schedule(STOP_CHECK_INTERVAL_MS, () -> checkStopped(startMs));
    }

    private void awaitCounts(long startMs, long finishedAtMs) {
        long stoppingMs = loop.nowMs() - startMs;
        boolean isTimeLeft = loop.nowMs() - finishedAtMs < FINAL_COUNTS_TIMEOUT_MS
                && stoppingMs < settings.stopGraceMs() - STOP_CHECK_INTERVAL_MS;
        if (isTimeLeft && !counts.isFinished()) {
            loop.schedule(STOP_CHECK_INTERVAL_MS, () -> awaitCounts(startMs, finishedAtMs));
            return;
        }
        log.info("event=node-stopped in-progress=" + entry.countInProgress() + " counts-written=" + counts.isFinished()
                + " took-ms=" + stoppingMs);
        loop.close();
    }

    private void register() {
        store.register(
                peerService.getSelf(),
                SharedStore.Callback.of(done -> readPeers(), failure -> retryStore(this::register)));
    }

    /** Registers again, as the registration may be lost, unless the node was removed with its upstream. */
    private void onStoreRestored() {
        log.info("event=store-restored version-in-force=" + rules.getVersion() + " leaves="
                + upstream.getLeaves().size());
        // Nodes notice a return at about the same time.
        loop.schedule(Math.round(Math.random() * MAX_REPEATED_REGISTRATION_DELAY_MS), () -> {
            if (!isDeregistered) {
                register();
            }
        });
    }

    private void readPeers() {
        store.readPeers(SharedStore.Callback.of(
                found -> {
                    storeRetryDelayMs = 0;
                    peerService.onFleetRead(found);
                },
                failure -> retryStore(this::readPeers)));
    }

    private void retryStore(Runnable call) {
        storeRetryDelayMs =
                Math.min(MAX_STORE_RETRY_DELAY_MS, Math.max(INITIAL_STORE_RETRY_DELAY_MS, storeRetryDelayMs * 2));
        loop.schedule(storeRetryDelayMs / 2 + Math.round(Math.random() * storeRetryDelayMs / 2), call);
    }

    private void onReadinessRequest(HttpExchange exchange) {
        exchange.respond(HttpResponseMessage.ofEmpty(isReady() ? 200 : 503));
    }

    private void onMetrics(HttpExchange exchange) {
        byte[] body = metrics.toText().getBytes(StandardCharsets.UTF_8);
        exchange.respond(new HttpResponseMessage(200, List.of(new HeaderField("Content-Type", "text/plain")), body));
    }
}
