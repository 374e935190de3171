package io.cranberryarch.standin;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommands that run stand-ins, each in a process of its own. */
@Command(
        name = "standin",
        description = "Runs stand-ins of the platform, an upstream or a caller, for the quick start.",
        subcommands = {
            StandinCommand.PlatformCommand.class,
            StandinCommand.UpstreamCommand.class,
            StandinCommand.CallerCommand.class
        },
        mixinStandardHelpOptions = true)
public final class StandinCommand {

    private static final long ANNOUNCE_INTERVAL_MS = 300;

    private StandinCommand() {}

    private static void awaitTermination() throws InterruptedException {
        new CountDownLatch(1).await();
    }

    /** Runs a platform stand-in. */
    @Command(
            name = "platform",
            description = "Runs the platform's table and object store in memory.",
            mixinStandardHelpOptions = true)
    static final class PlatformCommand implements Callable<Integer> {

        @Option(names = "--port", defaultValue = "0", description = "the port, 0 to let the operating system choose")
        private int port;

        @Override
        public Integer call() throws Exception {
            try (PlatformStandin platform = new PlatformStandin(port).start()) {
                System.out.println("ready " + platform.getAddress());
                awaitTermination();
            }
            return 0;
        }
    }

    /** Runs an upstream stand-in. */
    @Command(
            name = "upstream",
            description = "Runs an upstream that announces itself to its node.",
            mixinStandardHelpOptions = true)
    static final class UpstreamCommand implements Callable<Integer> {

        @Option(names = "--name", required = true, description = "the name that it includes in its answers")
        private String name;

        @Option(names = "--slots", defaultValue = "100", description = "maximum number of concurrent requests")
        private int slots;

        @Option(
                names = "--node-file",
                required = true,
                description = "file that holds the node's local address, read before each announcement")
        private Path nodeFile;

        @Override
        public Integer call() throws Exception {
            try (UpstreamStandin upstream = new UpstreamStandin(name, 0).start()) {
                System.out.println("ready " + upstream.getAddress());
                while (true) {
                    announce(upstream);
                    Thread.sleep(ANNOUNCE_INTERVAL_MS);
                }
            }
        }

        private void announce(UpstreamStandin upstream) throws IOException {
            if (!Files.exists(nodeFile)) {
                return;
            }
            URI node = URI.create(
                    Files.readString(nodeFile, StandardCharsets.UTF_8).trim());
            try {
                upstream.announce(node, "up", slots);
            } catch (IOException e) {
                System.err.println("announcement failed: " + e.getMessage());
            }
        }
    }

    /** Runs a caller stand-in. */
    @Command(
            name = "caller",
            description = "Sends requests and checks the statuses of the answers.",
            mixinStandardHelpOptions = true)
    static final class CallerCommand implements Callable<Integer> {

        @Option(names = "--url", required = true, description = "the address with path and query")
        private URI url;

        @Option(names = "--method", defaultValue = "GET", description = "the HTTP method")
        private String method;

        @Option(names = "--key", description = "the caller's key")
        private String key;

        @Option(names = "--idempotency-prefix", description = "prefix of the idempotency key of each request")
        private String prefix;

        @Option(names = "--body", description = "the body")
        private String body;

        @Option(names = "--count", defaultValue = "1", description = "the number of requests")
        private int count;

        @Option(names = "--expect", description = "the expected status; the exit code is 1 if any answer has another")
        private Integer expected;

        @Override
        public Integer call() throws Exception {
            try (CallerStandin caller = new CallerStandin().start()) {
                Map<Integer, Integer> statuses = caller.send(
                        url,
                        method,
                        Optional.ofNullable(key),
                        Optional.ofNullable(prefix),
                        Optional.ofNullable(body),
                        count);
                System.out.println(statuses);
                return expected == null || statuses.equals(Map.of(expected, count)) ? 0 : 1;
            }
        }
    }
}
