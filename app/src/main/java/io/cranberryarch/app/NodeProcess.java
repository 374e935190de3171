package io.cranberryarch.app;

import io.cranberryarch.base.Clock;
import io.cranberryarch.mesh.EventLog;
import io.cranberryarch.mesh.MeshNode;
import io.cranberryarch.mesh.MeshSettings;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpLimits;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.net.HttpServer;
import io.cranberryarch.operator.ExitCodes;
import io.cranberryarch.platform.OperatorDocumentReader;
import io.cranberryarch.platform.PlatformHeaders;
import io.cranberryarch.platform.PlatformStore;
import io.cranberryarch.platform.UpstreamReportHandler;
import io.cranberryarch.settings.SettingsException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The process of a node on the hosted platform. It does not depend on the command-line parser: a node starts on every
 * machine and again after each failure, and the parser would account for a large part of the startup time.
 */
final class NodeProcess {

    static final String CONFIG_VARIABLE = "CRANBERRYARCH_CONFIG";

    private static final int LOG_BUFFER_BYTES = 64 * 1024;
    private static final long RELOAD_CHECK_INTERVAL_MS = 10_000;

    private final Path file;
    private final long stopAfterMs;
    private final CompletableFuture<Runnable> reloadAction = new CompletableFuture<>();
    private final CompletableFuture<Runnable> stopAction = new CompletableFuture<>();
    private long fileModifiedAtMs;

    /**
     * Creates a process that is not running.
     *
     * @param file the INI file of the node, or {@code null} if none is set
     * @param stopAfterMs the time in milliseconds after which the process stops, 0 to run until a signal
     */
    NodeProcess(Path file, long stopAfterMs) {
        this.file = file;
        this.stopAfterMs = stopAfterMs;
    }

    /**
     * Creates a process with the settings file from the environment variable.
     *
     * @return the process, which is not running
     */
    static NodeProcess ofEnvironment() {
        String file = System.getenv(CONFIG_VARIABLE);
        return new NodeProcess(file == null ? null : Path.of(file), 0);
    }

    /**
     * Runs the node until the process receives a signal to stop, or the time to stop is reached.
     *
     * @return the exit code, see {@link ExitCodes}
     * @throws IOException if the settings cannot be read or a port cannot be bound
     */
    int run() throws IOException {
        installSignalHandlers();
        try {
            return start();
        } finally {
            // Without effect if the node was started.
            stopAction.complete(() -> {});
        }
    }

    /** Handles signals from now on: those that arrive before the node is started are handled once it is. */
    private void installSignalHandlers() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAction.join().run(), "stop"));
        Signals.handle("HUP", () -> reloadAction.thenAccept(Runnable::run));
    }

    private int start() throws IOException {
        if (file == null) {
            System.err.println("error: neither --config nor " + CONFIG_VARIABLE + " is set");
            return ExitCodes.USAGE;
        }
        MeshSettings settings;
        fileModifiedAtMs = file.toFile().lastModified();
        try {
            settings = MeshSettings.read(file);
        } catch (SettingsException e) {
            e.getFaults().forEach(System.err::println);
            return ExitCodes.USAGE;
        }
        // Log lines are written in batches; the thread of the log flushes them.
        System.setOut(new PrintStream(
                new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), LOG_BUFFER_BYTES),
                false,
                StandardCharsets.UTF_8));
        System.setProperty("tinylog.writer.stream", "out");
        System.setProperty("tinylog.writingthread", "false");
        EventLog log = new EventLog(settings.logLinesPerS());
        EventLoop loop = new EventLoop(Clock.system());
        MeshNode node = new MeshNode(
                loop,
                settings,
                PlatformHeaders.NAMES,
                new PlatformStore(loop, settings.store()),
                new OperatorDocumentReader(),
                log);
        UpstreamReportHandler reportHandler = new UpstreamReportHandler(node.getReports());
        HttpServer.bind(
                loop, settings.control(), () -> HttpLimits.DEFAULT, reportHandler::onRequest, (status, cause) -> {
                    if (log.tryAcquireRequestLine(loop.nowMs())) {
                        log.info("event=report-malformed status=" + status + " cause=\"" + cause + "\"");
                    }
                    return HttpResponseMessage.ofEmpty(status);
                });
        node.start();
        loop.scheduleWithFixedDelay(RELOAD_CHECK_INTERVAL_MS, () -> reloadIfChanged(node, log));
        if (stopAfterMs > 0) {
            loop.schedule(stopAfterMs, loop::close);
        }
        CountDownLatch stopped = new CountDownLatch(1);
        reloadAction.complete(() -> loop.execute(() -> reload(node, log)));
        stopAction.complete(() -> stop(loop, node, stopped, settings));
        loop.run();
        log.close();
        stopped.countDown();
        return ExitCodes.OK;
    }

    /** Reloads the settings file if it was modified, as it may change without a signal. */
    private void reloadIfChanged(MeshNode node, EventLog log) {
        long modifiedAtMs = file.toFile().lastModified();
        if (modifiedAtMs != fileModifiedAtMs) {
            reload(node, log);
        }
    }

    private void reload(MeshNode node, EventLog log) {
        fileModifiedAtMs = file.toFile().lastModified();
        try {
            node.reload(MeshSettings.read(file));
        } catch (SettingsException e) {
            log.info("event=settings-rejected faults=" + e.getFaults().size() + " first=\""
                    + e.getFaults().get(0) + "\"");
        } catch (IOException e) {
            log.info("event=settings-rejected cause=\"" + e.getMessage() + "\"");
        }
    }

    private static void stop(EventLoop loop, MeshNode node, CountDownLatch stopped, MeshSettings settings) {
        loop.execute(node::stop);
        try {
            stopped.await(settings.stopGraceMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
