package io.cranberryarch.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

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
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A randomized soak of the real programs: nodes as separate processes, with faults from outside. Each seed draws another
 * series of faults, which overlap.
 *
 * <p>By hand, with other seeds and for longer: {@code mvn verify -pl app -am -Dtest=FaultSoakTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.first=100 -Dsoak.seeds=50 -Dsoak.seconds=20}.
 */
class FaultSoakTest {

    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 1);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 12);
    private static final int NODES = 4;
    private static final int CALLERS = 8;
    private static final int MS_PER_S = 1_000;
    private static final long RECOVERY_MS = 60_000;
    private static final String TIMEOUT_MS = "3000";
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    @TempDir
    Path folder;

    @Test
    @Timeout(10_000)
    void promisesHoldWhileProcessesAndConnectionsFail() throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Path own = Files.createDirectory(folder.resolve("seed-" + seed));
            try (SoakFleet fleet = new SoakFleet(own, NODES)) {
                new Soak(fleet, seed).run();
            }
        }
    }

    /** One seed. */
    private static final class Soak {

        private final SoakFleet fleet;
        private final int seed;
        private final Random random;
        private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
        private final AtomicBoolean isOver = new AtomicBoolean();
        private final AtomicInteger next = new AtomicInteger();
        private final List<Thread> repairs = new ArrayList<>();

        Soak(SoakFleet fleet, int seed) {
            this.fleet = fleet;
            this.seed = seed;
            this.random = new Random(seed);
        }

        void run() throws Exception {
            awaitService();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Random own = new Random(seed * CALLERS + i);
                callers.add(start(() -> call(own)));
            }
            for (long endMs = System.currentTimeMillis() + (long) SECONDS * MS_PER_S;
                    System.currentTimeMillis() < endMs; ) {
                injectFault(fleet.getMembers().get(random.nextInt(NODES)));
                Thread.sleep(100L + random.nextInt(900));
            }
            for (Thread repair : repairs) {
                repair.join();
            }
            awaitService();
            isOver.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            for (SoakFleet.Member member : fleet.getMembers()) {
                member.signal("TERM").waitFor();
            }
            check();
        }

        /** Begins a fault that ends by itself. */
        private void injectFault(SoakFleet.Member member) throws Exception {
            long forMs = 200L + random.nextInt(2_500);
            switch (random.nextInt(10)) {
                case 0 -> restart(member, "KILL", forMs);
                case 1 -> restart(member, "TERM", forMs);
                case 2 -> {
                    member.signal("STOP");
                    repairAfter(forMs, () -> member.signal("CONT"));
                }
                case 3 -> member.signal("HUP");
                case 4 -> setMode(member.getStoreProxy(), forMs);
                case 5 -> setMode(member.getUpstreamProxy(), forMs);
                case 6 -> member.getUpstreamProxy().resetAll();
                case 7 -> {
                    fleet.getStore()
                            .setMode(random.nextBoolean() ? SoakStore.Mode.DOWN : SoakStore.Mode.LOSING_ANSWERS);
                    repairAfter(forMs, () -> fleet.getStore().setMode(SoakStore.Mode.UP));
                }
                case 8 -> member.getUpstream().replace();
                default -> fleet.publish();
            }
        }

        private void restart(SoakFleet.Member member, String signal, long forMs) throws Exception {
            Process ending = member.signal(signal);
            repairAfter(forMs, () -> {
                member.signal("CONT");
                member.startAfter(ending);
            });
        }

        private void setMode(FaultProxy proxy, long forMs) {
            FaultProxy.Mode[] modes = FaultProxy.Mode.values();
            proxy.setMode(modes[1 + random.nextInt(modes.length - 1)]);
            repairAfter(forMs, () -> proxy.setMode(FaultProxy.Mode.PASS));
        }

        private void repairAfter(long delayMs, Repair repair) {
            repairs.add(start(() -> {
                try {
                    Thread.sleep(delayMs);
                    repair.run();
                } catch (Exception e) {
                    fleet.getFaults().add("repair failed: " + e);
                }
            }));
        }

        private void call(Random own) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            while (!isOver.get()) {
                boolean isOrder = own.nextInt(10) < 6;
                boolean isKeyWrong = own.nextInt(10) == 0;
                String id = "s" + seed + "-" + next.incrementAndGet();
                SoakFleet.Member member = fleet.getMembers().get(own.nextInt(NODES));
                Answer answer = send(client, member, id, isOrder, isKeyWrong ? "wrong" : SoakFleet.KEY);
                outcomes.put(id, new Outcome(isOrder, isKeyWrong, answer));
            }
        }

        private Answer send(HttpClient client, SoakFleet.Member member, String id, boolean isOrder, String key) {
            HttpRequest.Builder request = HttpRequest.newBuilder(member.toEntry((isOrder ? "/order/" : "/read/") + id))
                    .header(SoakUpstream.ID_HEADER, id)
                    .header("X-Cranberryarch-Deadline-Ms", TIMEOUT_MS)
                    .header("Authorization", "Bearer " + key)
                    .timeout(Duration.ofMillis(Long.parseLong(TIMEOUT_MS) + MS_PER_S));
            if (isOrder) {
                request.POST(HttpRequest.BodyPublishers.ofString("one tag"));
            }
            try {
                HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
                return new Answer(response.statusCode(), response.body());
            } catch (IOException e) {
                return new Answer(0, String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return new Answer(0, "interrupted");
            }
        }

        /** Waits until each node serves requests. */
        private void awaitService() throws InterruptedException {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            for (SoakFleet.Member member : fleet.getMembers()) {
                long endMs = System.currentTimeMillis() + RECOVERY_MS;
                String id = "probe-" + next.incrementAndGet();
                Answer answer = send(client, member, id, false, SoakFleet.KEY);
                while (answer.status() != 200) {
                    if (System.currentTimeMillis() > endMs) {
                        throw new AssertionError("seed " + seed + ": no service again, last " + answer);
                    }
                    Thread.sleep(50);
                    answer = send(client, member, "probe-" + next.incrementAndGet(), false, SoakFleet.KEY);
                }
            }
        }

        private void check() throws IOException {
            List<String> broken = new ArrayList<>(fleet.getFaults());
            outcomes.forEach((id, outcome) -> {
                int runs = fleet.getRuns().getOrDefault(id, 0);
                if (!outcome.isAllowed(id, runs)) {
                    broken.add(id + " ran " + runs + " times: " + outcome);
                }
            });
            assertEquals(List.of(), broken, "seed " + seed);
            String logs = fleet.readLogs();
            for (String fault :
                    List.of("event=task-failed", "event=handler-failed", "OutOfMemoryError", SoakFleet.KEY)) {
                assertFalse(logs.contains(fault), "seed " + seed + ": " + fault + " in the logs");
            }
            long served = outcomes.values().stream()
                    .filter(outcome -> outcome.answer().status() == 200)
                    .count();
            System.out.println("soak seed " + seed + ": " + outcomes.size() + " requests, " + served + " served");
        }

        private static Thread start(Runnable task) {
            Thread thread = new Thread(task, "soak");
            thread.setDaemon(true);
            thread.start();
            return thread;
        }
    }

    /** What ends a fault. */
    @FunctionalInterface
    private interface Repair {
        void run() throws Exception;
    }

    /** An answer; status 0 is none. */
    private record Answer(int status, String body) {}

    /** A request and its answer. */
    private record Outcome(boolean isOrder, boolean isKeyWrong, Answer answer) {

        boolean isAllowed(String id, int runs) {
            if (isKeyWrong) {
                return runs == 0 && answer.status() != 200;
            }
            if (isOrder && runs > 1) {
                return false;
            }
            if (NOT_RUN.contains(answer.status())) {
                return runs == 0;
            }
            return answer.status() != 200 || (runs > 0 && answer.body().equals("ran " + id));
        }
    }
}
