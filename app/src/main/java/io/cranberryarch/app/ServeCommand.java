package io.cranberryarch.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a node on the hosted platform until the process receives a signal to stop. */
@Command(
        name = ServeCommand.NAME,
        description = "Runs the node on the hosted platform; SIGTERM stops it gracefully.",
        mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {

    static final String NAME = "serve";

    @Option(
            names = "--config",
            defaultValue = "${env:" + NodeProcess.CONFIG_VARIABLE + "}",
            description = "the INI file of the node; default: the value of " + NodeProcess.CONFIG_VARIABLE
                    + " in the environment")
    private Path file;

    @Option(
            names = "--stop-after-ms",
            hidden = true,
            description = "stops after this time; the build uses it to record the classes that a start loads")
    private long stopAfterMs;

    @Override
    public Integer call() throws Exception {
        return new NodeProcess(file, stopAfterMs).run();
    }
}
