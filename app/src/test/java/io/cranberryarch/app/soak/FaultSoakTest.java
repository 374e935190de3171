package io.cranberryarch.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A randomized soak test of nodes in separate processes, with overlapping faults of processes, connections, the store
 * and the upstreams. Each seed gives another sequence of faults. Guards against orders that run more than once,
 * requests that run despite an invalid key or a response that denies it, incorrect responses, and requests at upstreams
 * beyond what these have stated in responses.
 *
 * <p>To run it with other seeds and for longer: {@code mvn verify -pl app -am -Dtest=FaultSoakTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.first=100 -Dsoak.seeds=50 -Dsoak.seconds=20}.
 */
class FaultSoakTest {

    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("soak.seeds", 1);
    private static final int DURATION_S = Integer.getInteger("soak.seconds", 12);
    private static final int NODE_COUNT = 4;
    private static final int CALLER_COUNT = 8;
    private static final int MS_PER_S = 1_000;
    private static final long RECOVERY_TIMEOUT_MS = 60_000;
    private static final String TIMEOUT_MS = "3000";
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    @TempDir
    Path folder;

    @Test
    @Timeout(10_000)
    void invariantsHoldWhileProcessesAndConnectionsFail() throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
            try (SoakFleet fleet = new SoakFleet(seedFolder, NODE_COUNT)) {
                new Soak(fleet, seed).run();
            }
        }
    }

    /** The test run of one seed. */
    private static final class Soak {

        private final SoakFleet fleet;
        private final int seed;
        private final Random random;
        private final Random statementRandom;
        private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
        private final AtomicBoolean isFinished = new AtomicBoolean();
        private final AtomicInteger nextId = new AtomicInteger();
        private final List<Thread> recoveryThreads = new ArrayList<>();

        Soak(SoakFleet fleet, int seed) {
            this.fleet = fleet;
            this.seed = seed;
            this.random = new Random(seed);
            // Separate, so that the sequence of the other faults stays that of the seed.
            this.statementRandom = new Random(~seed);
        }

        void run() throws Exception {
            awaitService();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                Random callerRandom = new Random(seed * CALLER_COUNT + i);
                callers.add(startThread(() -> sendRequests(callerRandom)));
            }
            for (long endMs = System.currentTimeMillis() + (long) DURATION_S * MS_PER_S;
                    System.currentTimeMillis() < endMs; ) {
                injectFault(fleet.getNodes().get(random.nextInt(NODE_COUNT)));
                injectStatement(fleet.getNodes().get(statementRandom.nextInt(NODE_COUNT)));
                Thread.sleep(100L + random.nextInt(900));
            }
            for (Thread thread : recoveryThreads) {
                thread.join();
            }
            awaitService();
            isFinished.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            for (SoakFleet.SoakNode node : fleet.getNodes()) {
                node.signal("TERM").waitFor();
            }
            checkInvariants();
        }

        /** Injects a random fault. A fault that lasts is ended after a random time. */
        private void injectFault(SoakFleet.SoakNode node) throws Exception {
            long durationMs = 200L + random.nextInt(2_500);
            switch (random.nextInt(10)) {
                case 0 -> restart(node, "KILL", durationMs);
                case 1 -> restart(node, "TERM", durationMs);
                case 2 -> {
                    excuse(node);
                    node.signal("STOP");
                    recoverAfter(durationMs, () -> {
                        excuse(node);
                        node.signal("CONT");
                    });
                }
                case 3 -> node.signal("HUP");
                case 4 -> setMode(node.getStoreProxy(), durationMs);
                case 5 -> setMode(node.getUpstreamProxy(), durationMs);
                case 6 -> node.getUpstreamProxy().resetAll();
                case 7 -> {
                    fleet.getStore()
                            .setMode(random.nextBoolean() ? SoakStore.Mode.DOWN : SoakStore.Mode.LOSING_RESPONSES);
                    recoverAfter(durationMs, () -> fleet.getStore().setMode(SoakStore.Mode.UP));
                }
                case 8 -> node.getUpstream().replaceInstance();
                default -> fleet.publishRules();
            }
        }

        /** Lets the upstream of a node state something about itself, or the store return from a copy, at times. */
        private void injectStatement(SoakFleet.SoakNode node) {
            UpstreamStatements statements = node.getUpstream().getStatements();
            long durationMs = 4_000L + statementRandom.nextInt(4_000);
            switch (statementRandom.nextInt(8)) {
                case 0 -> {
                    statements.setRatePerS(Optional.of(0.5 + 5 * statementRandom.nextDouble()));
                    recoverAfter(durationMs, () -> statements.setRatePerS(Optional.empty()));
                }
                case 1 -> {
                    statements.leave();
                    recoverAfter(durationMs, node.getUpstream()::replaceInstance);
                }
                case 2 -> {
                    fleet.getStore().takeCopy();
                    recoverAfter(durationMs / 4, () -> {
                        fleet.getStore().returnFromCopy();
                        Thread.sleep(durationMs / 8);
                        fleet.getStore().republishRules();
                    });
                }
                default -> {
                    // Nothing beside the other faults.
                }
            }
        }

        /** Excuses a node whose process is stopped from what it has passed on. */
        private void excuse(SoakFleet.SoakNode node) {
            for (SoakFleet.SoakNode other : fleet.getNodes()) {
                other.getUpstream().getStatements().onNodeDisturbed(node.getName());
            }
        }

        private void restart(SoakFleet.SoakNode node, String signal, long durationMs) throws Exception {
            excuse(node);
            Process stopping = node.signal(signal);
            recoverAfter(durationMs, () -> {
                node.signal("CONT");
                // A process that stops gracefully goes on passing on responses.
                stopping.waitFor();
                excuse(node);
                node.restartAfter(stopping);
            });
        }

        private void setMode(FaultProxy proxy, long durationMs) {
            FaultProxy.Mode[] modes = FaultProxy.Mode.values();
            proxy.setMode(modes[1 + random.nextInt(modes.length - 1)]);
            recoverAfter(durationMs, () -> proxy.setMode(FaultProxy.Mode.PASS));
        }

        private void recoverAfter(long delayMs, Recovery recovery) {
            recoveryThreads.add(startThread(() -> {
                try {
                    Thread.sleep(delayMs);
                    recovery.run();
                } catch (Exception e) {
                    fleet.getViolations().add("recovery failed: " + e);
                }
            }));
        }

        private void sendRequests(Random callerRandom) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            while (!isFinished.get()) {
                boolean isOrder = callerRandom.nextInt(10) < 6;
                boolean isKeyWrong = callerRandom.nextInt(10) == 0;
                SoakFleet.SoakNode node = fleet.getNodes().get(callerRandom.nextInt(NODE_COUNT));
                String id = UpstreamStatements.toRequestId("s" + seed + "-" + nextId.incrementAndGet(), node.getName());
                Response response = send(client, node, id, isOrder, isKeyWrong ? "wrong" : SoakFleet.KEY);
                outcomes.put(id, new Outcome(isOrder, isKeyWrong, response));
            }
        }

        private Response send(HttpClient client, SoakFleet.SoakNode node, String id, boolean isOrder, String key) {
            HttpRequest.Builder request = HttpRequest.newBuilder(node.toEntry((isOrder ? "/order/" : "/read/") + id))
                    .header(SoakUpstream.ID_HEADER, id)
                    .header("X-Cranberryarch-Deadline-Ms", TIMEOUT_MS)
                    .header("Authorization", "Bearer " + key)
                    .timeout(Duration.ofMillis(Long.parseLong(TIMEOUT_MS) + MS_PER_S));
            if (isOrder) {
                request.POST(HttpRequest.BodyPublishers.ofString("one tag"));
            }
            long sentAtMs = System.currentTimeMillis();
            try {
                HttpResponse<String> httpResponse = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
                for (SoakFleet.SoakNode other : fleet.getNodes()) {
                    other.getUpstream().onPassedOn(node.getName(), sentAtMs, httpResponse.headers());
                }
                return new Response(httpResponse.statusCode(), httpResponse.body());
            } catch (IOException e) {
                return new Response(0, String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return new Response(0, "interrupted");
            }
        }

        /** Waits until each node serves requests, or fails after the recovery timeout. */
        private void awaitService() throws InterruptedException {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            for (SoakFleet.SoakNode node : fleet.getNodes()) {
                long endMs = System.currentTimeMillis() + RECOVERY_TIMEOUT_MS;
                String id = "probe-" + nextId.incrementAndGet();
                Response response = send(client, node, id, false, SoakFleet.KEY);
                while (response.status() != 200) {
                    if (System.currentTimeMillis() > endMs) {
                        throw new AssertionError("seed " + seed + ": service of " + node.getName()
                                + " did not recover, last " + response + ", process " + node.getProcessState()
                                + ", violations " + fleet.getViolations());
                    }
                    Thread.sleep(50);
                    response = send(client, node, "probe-" + nextId.incrementAndGet(), false, SoakFleet.KEY);
                }
            }
        }

        private void checkInvariants() throws IOException {
            List<String> violations = new ArrayList<>(fleet.getViolations());
            outcomes.forEach((id, outcome) -> {
                int runs = fleet.getRuns().getOrDefault(id, 0);
                if (!outcome.isAllowed(id, runs)) {
                    violations.add(id + " ran " + runs + " times: " + outcome);
                }
            });
            assertEquals(List.of(), violations, "seed " + seed);
            String logs = fleet.readLogs();
            for (String fault :
                    List.of("event=task-failed", "event=handler-failed", "OutOfMemoryError", SoakFleet.KEY)) {
                assertFalse(logs.contains(fault), "seed " + seed + ": found " + fault + " in the logs");
            }
            long served = outcomes.values().stream()
                    .filter(outcome -> outcome.response().status() == 200)
                    .count();
            long nestedRuns = fleet.getRuns().keySet().stream()
                    .filter(SoakUpstream::isNested)
                    .count();
            assertTrue(nestedRuns > 0, "seed " + seed + ": no nested call ran");
            System.out.println("soak seed " + seed + ": " + outcomes.size() + " requests, " + served + " served, "
                    + nestedRuns + " nested calls ran");
        }

        private static Thread startThread(Runnable task) {
            Thread thread = new Thread(task, "soak");
            thread.setDaemon(true);
            thread.start();
            return thread;
        }
    }

    /** An action that ends a fault. */
    @FunctionalInterface
    private interface Recovery {
        void run() throws Exception;
    }

    /** A response; status 0 if there was none. */
    private record Response(int status, String body) {}

    /** A request and its response. */
    private record Outcome(boolean isOrder, boolean isKeyWrong, Response response) {

        boolean isAllowed(String id, int runs) {
            if (isKeyWrong) {
                return runs == 0 && response.status() != 200;
            }
            if (isOrder && runs > 1) {
                return false;
            }
            if (NOT_RUN_STATUSES.contains(response.status())) {
                return runs == 0;
            }
            return response.status() != 200 || (runs > 0 && response.body().equals("ran " + id));
        }
    }
}
