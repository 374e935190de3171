package io.cranberryarch.app;

import io.cranberryarch.node.Node;
import io.cranberryarch.operator.ExitCodes;
import io.cranberryarch.settings.NodeConfig;
import io.cranberryarch.settings.NodeConfigReader;
import io.cranberryarch.settings.SettingsException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a node until the process receives a signal to stop. */
@Command(
        name = "node",
        description = "Runs the node beside an upstream; SIGTERM stops it gracefully.",
        mixinStandardHelpOptions = true)
final class NodeCommand implements Callable<Integer> {

    @Option(names = "--config", required = true, description = "the INI file of the node")
    private Path file;

    @Override
    public Integer call() throws Exception {
        NodeConfig config;
        try {
            config = NodeConfigReader.read(file);
        } catch (SettingsException e) {
            e.getFaults().forEach(System.err::println);
            return ExitCodes.USAGE;
        }
        System.setProperty("tinylog.writer.level", config.logLevel());
        Node node = Node.start(config);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        System.out.printf(
                "ready entry=%d local=%d peer=%d admin=%d%n",
                node.getEntryPort(), node.getLocalPort(), node.getPeerPort(), node.getAdminPort());
        new CountDownLatch(1).await();
        return ExitCodes.OK;
    }

    private static void stop(Node node) {
        try {
            node.close();
        } catch (Exception e) {
            System.err.println("error: the node did not stop cleanly: " + e.getMessage());
        }
    }
}
