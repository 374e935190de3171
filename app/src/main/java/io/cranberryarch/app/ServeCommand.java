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
import io.cranberryarch.platform.OperatorDocument;
import io.cranberryarch.platform.PlatformHeaders;
import io.cranberryarch.platform.PlatformStore;
import io.cranberryarch.platform.UpstreamReports;
import io.cranberryarch.settings.SettingsException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a node on the hosted platform until the process is told to stop. */
@Command(
        name = ServeCommand.NAME,
        description = "Runs the node on the hosted platform; SIGTERM stops it gracefully.",
        mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {

    static final String NAME = "serve";

    private static final String CONFIG_VARIABLE = "CRANBERRYARCH_CONFIG";
    private static final int LOG_BUFFER_BYTES = 64 * 1024;
    private static final long RELOAD_CHECK_INTERVAL_MS = 10_000;

    @Option(
            names = "--config",
            defaultValue = "${env:" + CONFIG_VARIABLE + "}",
            description = "the INI file of the node; default: the file that " + CONFIG_VARIABLE + " names")
    private Path file;

    @Option(
            names = "--stop-after-ms",
            hidden = true,
            description = "stops after this time; the build uses it to record the classes that a start loads")
    private long stopAfterMs;

    private long fileChangedAtMs;

    @Override
    public Integer call() throws Exception {
        if (file == null) {
            System.err.println("error: neither --config nor " + CONFIG_VARIABLE + " is set");
            return ExitCodes.USAGE;
        }
        MeshSettings settings;
        fileChangedAtMs = file.toFile().lastModified();
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
                new OperatorDocument(),
                log);
        UpstreamReports reports = new UpstreamReports(node.getUpstream());
        HttpServer.bind(loop, settings.control(), () -> HttpLimits.DEFAULT, reports::onRequest, (status, cause) -> {
            if (log.tryRequest(loop.nowMs())) {
                log.state("event=report-malformed status=" + status + " cause=\"" + cause + "\"");
            }
            return HttpResponseMessage.ofEmpty(status);
        });
        node.start();
        Signals.handle("HUP", () -> loop.execute(() -> reload(node, log)));
        loop.repeat(RELOAD_CHECK_INTERVAL_MS, () -> reloadIfChanged(node, log));
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
        long changedAtMs = file.toFile().lastModified();
        if (changedAtMs != fileChangedAtMs) {
            reload(node, log);
        }
    }

    private void reload(MeshNode node, EventLog log) {
        fileChangedAtMs = file.toFile().lastModified();
        try {
            node.reload(MeshSettings.read(file));
        } catch (SettingsException e) {
            log.state("event=settings-rejected faults=" + e.getFaults().size() + " first=\""
                    + e.getFaults().get(0) + "\"");
        } catch (IOException e) {
            log.state("event=settings-rejected cause=\"" + e.getMessage() + "\"");
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
