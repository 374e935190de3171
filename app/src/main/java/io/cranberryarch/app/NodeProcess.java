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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The process of a node on the hosted platform, without the command line: a node starts on every machine and again
 * after each failure, and the parser of the command line would take a good part of a start.
 */
final class NodeProcess {

    static final String CONFIG_VARIABLE = "CRANBERRYARCH_CONFIG";

    private static final int LOG_BUFFER_BYTES = 64 * 1024;
    private static final long RELOAD_CHECK_INTERVAL_MS = 10_000;

    private final Path file;
    private final long stopAfterMs;
    private long fileModifiedAtMs;

    /**
     * Creates a process that does not run yet.
     *
     * @param file the INI file of the node, or {@code null} if none is named
     * @param stopAfterMs stops after this time in milliseconds, 0 to run until a signal
     */
    NodeProcess(Path file, long stopAfterMs) {
        this.file = file;
        this.stopAfterMs = stopAfterMs;
    }

    /**
     * Creates the process of the settings file that the environment names.
     *
     * @return the process
     */
    static NodeProcess ofEnvironment() {
        String file = System.getenv(CONFIG_VARIABLE);
        return new NodeProcess(file == null ? null : Path.of(file), 0);
    }

    /**
     * Runs the node until the process is told to stop.
     *
     * @return the exit code
     * @throws IOException if the settings cannot be read or a port cannot be bound
     */
    int run() throws IOException {
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
        // Lines of the log leave in batches; the log's own thread flushes them.
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
        UpstreamReportHandler reportHandler = new UpstreamReportHandler(node.getUpstream());
        HttpServer.bind(
                loop, settings.control(), () -> HttpLimits.DEFAULT, reportHandler::onRequest, (status, cause) -> {
                    if (log.tryAcquireRequestLine(loop.nowMs())) {
                        log.info("event=report-malformed status=" + status + " cause=\"" + cause + "\"");
                    }
                    return HttpResponseMessage.ofEmpty(status);
                });
        node.start();
        Signals.handle("HUP", () -> loop.execute(() -> reload(node, log)));
        loop.scheduleWithFixedDelay(RELOAD_CHECK_INTERVAL_MS, () -> reloadIfChanged(node, log));
        if (stopAfterMs > 0) {
            loop.schedule(stopAfterMs, loop::close);
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, node, stopped, settings), "stop"));
        loop.run();
        log.close();
        stopped.countDown();
        return ExitCodes.OK;
    }

    /** The settings file may also change without a signal. */
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
